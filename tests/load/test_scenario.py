"""Reading scenario files: each problem is reported with its key, and targets off loopback need a setting."""

import json
import subprocess
import sys

import pytest
from local_deployment import ROOT

from apigateway.config_validation import InvalidConfigFileError
from apigateway.tools.load.scenario import read_scenario

VALID_SCENARIO = """
[classes.read]
[plans.p]
[[streams]]
class = "read"
plan = "p"
shape = { kind = "constant", rate = 10.0 }
"""


def read_problems(tmp_path, text):
    file = tmp_path / "scenario.toml"
    file.write_text(text)
    with pytest.raises(InvalidConfigFileError) as error_info:
        read_scenario(str(file))
    return {problem.key: problem for problem in error_info.value.problems}


@pytest.mark.parametrize(
    "text, key, text_in_problem",
    [
        ("[run]\nsecond = 3", "run.second", "did you mean `seconds`"),
        ("[run]\nseconds = -1", "run.seconds", ">= 0"),
        ("[targets]\ngateways = ['10.0.0.1:6379']", "targets.gateways[0]", "not on loopback"),
        ("[targets]\ngateways = ['gateway.test:6379']", "targets.gateways[0]", "off_loopback = true"),
        ("[targets]\ngateways = ['nowhere']", "targets.gateways[0]", "HOST:PORT"),
        ("[[spells]]\nplan = 'q'\ntimes = 2.0\nat_s = 1.0\nlength = 1.0", "spells[0].plan", "valid names: p"),
        (
            "[[spells]]\nplan = 'p'\nemployers = 2\ntimes = 2.0\nat_s = 1.0\nlength = 1.0",
            "spells[0].employers",
            "the plan has employers = 1",
        ),
        (
            "[plans.q]\nspread = 2\n[targets]\ngateways = ['127.0.0.1:1']",
            "plans.q.spread",
            "there are 1 gateways",
        ),
        (
            "[[streams]]\nclass = 'write'\nplan = 'p'\nshape = { kind = 'constant', rate = 1.0 }",
            "streams[1].class",
            "valid names: read",
        ),
        (
            "[[streams]]\nclass = 'read'\nplan = 'p'\nshape = { kind = 'circle', rate = 1.0 }",
            "streams[1].shape",
            "circle",
        ),
        (
            "[[streams]]\nclass = 'read'\nplan = 'p'\nshape = { kind = 'constant', rate = -1.0 }",
            "streams[1].shape",
            ">= 0",
        ),
        ("[[streams]]\nclass = 'read'\nplan = 'p'", "streams[1].shape", "missing"),
    ],
)
def test_problem_is_reported_with_its_key(text, key, text_in_problem, tmp_path):
    problems = read_problems(tmp_path, VALID_SCENARIO + text)
    assert list(problems) == [key] and text_in_problem in str(problems[key])


@pytest.mark.parametrize("address", ["127.0.0.1:1", "localhost:1", "[::1]:1", "127.9.9.9:1"])
def test_target_when_on_loopback_or_allowed_then_is_accepted(address, tmp_path):
    file = tmp_path / "scenario.toml"
    file.write_text(VALID_SCENARIO + f'[targets]\ngateways = ["{address}"]')
    assert read_scenario(str(file)).targets.gateways == [address]
    file.write_text(VALID_SCENARIO + '[targets]\ngateways = ["10.0.0.1:1"]\noff_loopback = true')
    assert read_scenario(str(file)).targets.off_loopback


def run_load_command(*arguments):
    return subprocess.run(
        [sys.executable, "-B", "-m", "apigateway", "load", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_plan_command_prints_figures_and_plot_or_the_problem(tmp_path):
    completed = run_load_command("plan", "examples/load/month-start.toml")
    assert completed.returncode == 0 and "month start: " in completed.stdout and "█" in completed.stdout, (
        completed.stderr
    )
    document = json.loads(run_load_command("plan", "examples/load/month-start.toml", "--json").stdout)
    assert (
        f"{document['requests']} requests" in completed.stdout and document["sha256"][:16] in completed.stdout
    )
    file = tmp_path / "scenario.toml"
    file.write_text(VALID_SCENARIO + "[run]\nmax_requests = 5")
    completed = run_load_command("plan", str(file))
    assert completed.returncode == 2 and "run.max_requests = 5" in completed.stderr
    completed = run_load_command("plan", str(tmp_path / "none.toml"))
    assert completed.returncode == 2 and "cannot be read" in completed.stderr

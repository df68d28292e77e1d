"""Reading experiment files: the runs they define, and the problems that are reported."""

from pathlib import Path

import pytest
from experiment_files import SMALL_EXPERIMENT, write_experiment

from apigateway import messages
from apigateway.config_validation import InvalidConfigFileError
from apigateway.tools.experiment.experiment_file import read_experiment

EXAMPLES = sorted((Path(__file__).resolve().parents[2] / "examples" / "experiments").glob("*.toml"))
PLAN_AND_WORK = """
[[base.customers.plans]]
name = "basic"
rate = 2.0
burst = 8.0
price = 0.5
over_worth = 0.25
over_cost = 0.75
open_limit = 3
ceiling_rate = 4.0
ceiling_burst = 16.0
ceiling_slack = 1.0

[[base.works]]
[base.works.cls]
name = "update"
aim = 1.5
deadline = 3.0
effect = "keyed"
scope = "cell"
memory = 6.0
worth = 5.0
late_worth = 1.0
stream = true
aim_stretch = 0.5
"""


def test_experiment_file_when_read_then_has_a_run_for_each_case_swept_value_and_seed(tmp_path):
    experiment = read_experiment(write_experiment(tmp_path / "e.toml"))
    assert len(experiment.runs) == 8 and {run.seed for run in experiment.runs} == {1, 2}
    calm, hang = (
        next(run.scenario for run in experiment.runs if run.case == case) for case in ("calm", "hang")
    )
    assert (calm.machines.count, calm.machines.cores, calm.faults) == (5, 4.0, ())
    assert (hang.machines.count, hang.machines.cores) == (5, 2) and hang.faults[0].what == "hang"
    assert len(read_experiment(str(tmp_path / "e.toml"), seed_count=5).runs) == 20


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_example_experiment_file_is_valid(path):
    assert read_experiment(str(path)).runs


def test_plans_and_classes_are_read_from_the_keys_of_the_file(tmp_path):
    path = write_experiment(tmp_path / "e.toml", SMALL_EXPERIMENT, ("[sweep]", PLAN_AND_WORK + "\n[sweep]"))
    scenario = read_experiment(path).runs[0].scenario
    assert scenario.customers.plans == (messages.Plan("basic", 2.0, 8.0, 3, 0.5, 0.25, 0.75, 4.0, 16.0, 1.0),)
    assert scenario.works[0].cls == messages.ServiceClass(
        "update", 1.5, 3.0, "keyed", "cell", 6.0, 5.0, 1.0, True, 0.5
    )


@pytest.mark.parametrize(
    "old, new, key, reason",
    [
        ('"two:0.5"', '"three"', "policy", "is not a policy"),
        ('"two:0.5"', '"module:none.py"', "policy", "no such file exists"),
        ("gateways = 6", "gateway = 6", "gateway", "did you mean `gateways`?"),
        ("gateways = 6", "gateways = 0", "gateways", "is less than 1"),
        ("gateways = 6", 'gateways = "6"', "gateways", "got `str`"),
        ('what = "hang"', 'what = "hung"', "faults[0].what", "is not a kind of fault"),
        ('what = "hang"', 'what = "dark", zone = "q"', "faults[0].zone", "no such zone is defined"),
        ("at = 0.5", "at = 9.5", "faults[0].at", "outside the run"),
        ("part = 0.2", "parts = 0.2", "faults[0].parts", "did you mean `part`?"),
        ('policy = ["module", "two:0.5"]', 'policy = "module"', "sweep.policy", "is not a list of values"),
        ("seeds = [1, 2]", "seeds = []", "seeds", "whole numbers"),
        ("seeds = [1, 2]", "seed = [1]", "seed", "did you mean `seeds`?"),
        (
            "[sweep]",
            PLAN_AND_WORK.replace("price = 0.5", 'price = "0.5"') + "[sweep]",
            "plans[0].price",
            "got `str`",
        ),
        (
            "[sweep]",
            PLAN_AND_WORK.replace("price", "prise") + "[sweep]",
            "plans[0].prise",
            "did you mean `price`?",
        ),
        ("count = 5", "count = 5\n[base.customers]\nshares = [0.5, 0.5]", "customers.shares", "are 1 plans"),
    ],
)
def test_experiment_file_when_invalid_then_is_rejected_with_file_key_and_reason(
    tmp_path, old, new, key, reason
):
    path = write_experiment(tmp_path / "bad.toml", SMALL_EXPERIMENT, (old, new))
    with pytest.raises(InvalidConfigFileError) as error_info:
        read_experiment(path)
    text = str(error_info.value)
    assert path in text and key in text and reason in text


def test_experiment_file_when_it_requires_too_many_runs_then_is_rejected(tmp_path):
    seeds = f"seeds = {list(range(6000))}"
    with pytest.raises(InvalidConfigFileError, match="requires 24000 runs"):
        read_experiment(write_experiment(tmp_path / "e.toml", SMALL_EXPERIMENT, ("seeds = [1, 2]", seeds)))

"""Reading files of experiments: what they ask for, and what is refused."""

from pathlib import Path

import pytest
from experiment_files import SMALL, write_experiment

from apigateway import messages
from apigateway.config_validation import InvalidConfigFileError
from apigateway.tools.experiment.experiment_file import read_experiment

EXAMPLES = sorted((Path(__file__).resolve().parents[2] / "examples" / "experiments").glob("*.toml"))
WORKS = """
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


def test_experiment_file_when_read_gives_a_run_for_each_case_choice_and_seed(tmp_path):
    experiment = read_experiment(write_experiment(tmp_path / "e.toml"))
    assert len(experiment.runs) == 8 and {p.seed for p in experiment.runs} == {1, 2}
    calm, hang = (next(p.scenario for p in experiment.runs if p.case == case) for case in ("calm", "hang"))
    assert (calm.machines.count, calm.machines.cores, calm.faults) == (5, 4.0, ())
    assert (hang.machines.count, hang.machines.cores) == (5, 2) and hang.faults[0].what == "hang"
    assert len(read_experiment(str(tmp_path / "e.toml"), seed_count=5).runs) == 20


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_experiment_file_of_the_examples_when_read_is_valid(path):
    assert read_experiment(str(path)).runs


def test_plans_and_classes_when_read_are_those_of_the_keys_in_the_file(tmp_path):
    path = write_experiment(tmp_path / "e.toml", SMALL, ("[sweep]", WORKS + "\n[sweep]"))
    scenario = read_experiment(path).runs[0].scenario
    assert scenario.customers.plans == (messages.Plan("basic", 2.0, 8.0, 3, 0.5, 0.25, 0.75, 4.0, 16.0, 1.0),)
    assert scenario.works[0].cls == messages.ServiceClass(
        "update", 1.5, 3.0, "keyed", "cell", 6.0, 5.0, 1.0, True, 0.5
    )


@pytest.mark.parametrize(
    "old, new, key, reason",
    [
        ('"two:0.5"', '"three"', "policy", "is no way to choose"),
        ('"two:0.5"', '"module:none.py"', "policy", "there is no such file"),
        ("gateways = 6", "gateway = 6", "gateway", "did you mean `gateways`?"),
        ("gateways = 6", "gateways = 0", "gateways", "is less than 1"),
        ("gateways = 6", 'gateways = "6"', "gateways", "got `str`"),
        ('what = "hang"', 'what = "hung"', "faults[0].what", "is no fault"),
        ('what = "hang"', 'what = "dark", zone = "q"', "faults[0].zone", "no such zone"),
        ("at = 0.5", "at = 9.5", "faults[0].at", "outside"),
        ("part = 0.2", "parts = 0.2", "faults[0].parts", "did you mean `part`?"),
        ('policy = ["module", "two:0.5"]', 'policy = "module"', "sweep.policy", "is no list"),
        ("seeds = [1, 2]", "seeds = []", "seeds", "whole numbers"),
        ("seeds = [1, 2]", "seed = [1]", "seed", "did you mean `seeds`?"),
        ("[sweep]", WORKS.replace("price = 0.5", 'price = "0.5"') + "[sweep]", "plans[0].price", "got `str`"),
        ("[sweep]", WORKS.replace("price", "prise") + "[sweep]", "plans[0].prise", "did you mean `price`?"),
        ("count = 5", "count = 5\n[base.customers]\nshares = [0.5, 0.5]", "customers.shares", "are 1 plans"),
    ],
)
def test_experiment_file_when_invalid_is_refused_with_file_key_and_reason(tmp_path, old, new, key, reason):
    path = write_experiment(tmp_path / "bad.toml", SMALL, (old, new))
    with pytest.raises(InvalidConfigFileError) as caught:
        read_experiment(path)
    text = str(caught.value)
    assert path in text and key in text and reason in text


def test_experiment_file_when_it_asks_for_too_many_runs_is_refused(tmp_path):
    seeds = f"seeds = {list(range(6000))}"
    with pytest.raises(InvalidConfigFileError, match="asks for 24000 plays"):
        read_experiment(write_experiment(tmp_path / "e.toml", SMALL, ("seeds = [1, 2]", seeds)))

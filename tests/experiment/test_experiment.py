"""Files of experiments: what they ask for, what is refused, what comes out."""

import json

import pytest

from apigateway.cli.main import main
from apigateway.config_validation import InvalidConfigFileError
from apigateway.tools.experiment.experiment_file import read_experiment

SMALL = """
name = "small"
seeds = [1, 2]
columns = ["in_aim", "p99_ms", "broken"]
[base]
gateways = 6
load = 0.4
length = 2.0
warm_up = 1.0
[base.machines]
count = 5
[sweep]
policy = ["module", "two:0.5"]
[[cases]]
name = "calm"
[[cases]]
name = "hang"
machines = { cores = 2 }
faults = [{ what = "hang", at = 0.5, part = 0.2 }]
"""


def written(path, text=SMALL, *changes):
    for old, new in changes:
        assert old in text
        text = text.replace(old, new)
    path.write_text(text)
    return str(path)


def test_cases_sweeps_and_seeds_make_plays(tmp_path):
    experiment = read_experiment(written(tmp_path / "e.toml"))
    assert len(experiment.runs) == 8 and {p.seed for p in experiment.runs} == {1, 2}
    calm, hang = (next(p.scenario for p in experiment.runs if p.case == case) for case in ("calm", "hang"))
    assert (calm.machines.count, calm.machines.cores, calm.faults) == (5, 4.0, ())
    assert (hang.machines.count, hang.machines.cores) == (5, 2) and hang.faults[0].what == "hang"
    assert len(read_experiment(str(tmp_path / "e.toml"), seed_count=5).runs) == 20


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
        ("count = 5", "count = 5\n[base.customers]\nshares = [0.5, 0.5]", "customers.shares", "are 1 plans"),
    ],
)
def test_a_file_that_cannot_be_played_is_refused_with_file_key_and_reason(tmp_path, old, new, key, reason):
    path = written(tmp_path / "bad.toml", SMALL, (old, new))
    with pytest.raises(InvalidConfigFileError) as caught:
        read_experiment(path)
    text = str(caught.value)
    assert path in text and key in text and reason in text


def test_too_many_plays_are_refused_before_any_is_made(tmp_path):
    seeds = f"seeds = {list(range(6000))}"
    with pytest.raises(InvalidConfigFileError, match="asks for 24000 plays"):
        read_experiment(written(tmp_path / "e.toml", SMALL, ("seeds = [1, 2]", seeds)))


def test_an_experiment_is_played_told_written_and_compared(tmp_path, capsys):
    path, figures = written(tmp_path / "e.toml"), str(tmp_path / "f.json")
    assert main(["experiment", path, "--json", figures, "--processes", "2"]) == 0
    assert "calm policy=module" in capsys.readouterr().out
    told = json.loads((tmp_path / "f.json").read_text())
    assert [row["case"] for row in told["rows"]] == ["calm", "calm", "hang", "hang"]
    assert all(row["seeds"] == [1, 2] for row in told["rows"])
    older = json.loads((tmp_path / "f.json").read_text())
    older["rows"][0]["figures"]["in_aim"] = [0.1, 0.0, 0.2]
    (tmp_path / "g.json").write_text(json.dumps(older))
    assert main(["experiment", path, "--compare", str(tmp_path / "g.json"), "--processes", "2"]) == 0
    out = capsys.readouterr().out
    assert out.count("was") == 1 and "was 0.100" in out  # the same seeds: nothing else has changed
    plot = tmp_path / "seconds.svg"
    assert main(["experiment", path, "--seconds", "--plot-seconds", str(plot), "--processes", "2"]) == 0
    out = capsys.readouterr().out
    assert "in_vain" in out and "</svg>" in plot.read_text()
    assert all(0 <= second["in_aim"] <= 1 for row in told["rows"] for second in row["seconds"])
    assert main(["experiment", path, "--compare", path]) == 2 and "cannot be read" in capsys.readouterr().err


def test_a_module_of_a_file_of_its_own_is_played_and_its_broken_rules_told(tmp_path, capsys):
    (tmp_path / "other.py").write_text(
        "from apigateway import messages\n"
        "class Gateway:\n"
        "    def __init__(self, settings, seed, now): self.hosts = []\n"
        "    def handle(self, now, event):\n"
        "        if isinstance(event, messages.EndpointList): self.hosts += [h.id for h in event.endpoints]\n"
        "        send = isinstance(event, messages.Request)\n"
        "        return [messages.ForwardRequest(event.request_id, self.hosts[0])] * 2 if send else []\n"
    )
    path = written(
        tmp_path / "e.toml", SMALL, ('"module", "two:0.5"', f'"module:{tmp_path}/other.py", "random"')
    )
    assert main(["experiment", path, "--processes", "2"]) == 1
    out = capsys.readouterr().out
    assert "BROKEN calm" in out and "two at once" in out and "policy=random: seed" not in out

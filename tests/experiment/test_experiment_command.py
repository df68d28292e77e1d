"""The `experiment` command: its runs, output and files, and the comparison with an earlier run."""

import json

from experiment_files import SMALL_EXPERIMENT, write_experiment

from apigateway.cli.main import main


def test_experiment_when_run_then_is_printed_written_and_compared(tmp_path, capsys):
    path, figures_path = write_experiment(tmp_path / "e.toml"), str(tmp_path / "f.json")
    assert main(["experiment", path, "--json", figures_path, "--processes", "2"]) == 0
    assert "calm policy=module" in capsys.readouterr().out
    report = json.loads((tmp_path / "f.json").read_text())
    assert [row["case"] for row in report["rows"]] == ["calm", "calm", "hang", "hang"]
    assert all(row["seeds"] == [1, 2] for row in report["rows"])
    older = json.loads((tmp_path / "f.json").read_text())
    older["rows"][0]["figures"]["in_aim"] = [0.1, 0.0, 0.2]
    (tmp_path / "g.json").write_text(json.dumps(older))
    assert main(["experiment", path, "--compare", str(tmp_path / "g.json"), "--processes", "2"]) == 0
    out = capsys.readouterr().out
    # The runs have the same seeds, so no other figure differs.
    assert out.count("was") == 1 and "was 0.100" in out
    plot = tmp_path / "seconds.svg"
    assert main(["experiment", path, "--seconds", "--plot-seconds", str(plot), "--processes", "2"]) == 0
    out = capsys.readouterr().out
    assert "in_vain" in out and "</svg>" in plot.read_text()
    assert all(0 <= second["in_aim"] <= 1 for row in report["rows"] for second in row["seconds"])
    assert main(["experiment", path, "--compare", path]) == 2 and "cannot be read" in capsys.readouterr().err


def test_module_from_a_file_when_it_breaks_a_rule_then_is_reported_with_the_seed(tmp_path, capsys):
    (tmp_path / "other.py").write_text(
        "from apigateway import messages\n"
        "class Gateway:\n"
        "    def __init__(self, settings, seed, now): self.hosts = []\n"
        "    def handle(self, now, event):\n"
        "        if isinstance(event, messages.EndpointList): self.hosts += [h.id for h in event.endpoints]\n"
        "        send = isinstance(event, messages.Request)\n"
        "        return [messages.ForwardRequest(event.request_id, self.hosts[0])] * 2 if send else []\n"
    )
    path = write_experiment(
        tmp_path / "e.toml",
        SMALL_EXPERIMENT,
        ('"module", "two:0.5"', f'"module:{tmp_path}/other.py", "random"'),
    )
    assert main(["experiment", path, "--processes", "2"]) == 1
    out = capsys.readouterr().out
    assert "BROKEN calm" in out and "two at once" in out and "policy=random: seed" not in out

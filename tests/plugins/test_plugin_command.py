"""Tests of `api-gateway plugin`, and of the demo with plug-ins."""

import json
import subprocess
import sys

import pytest
from local_deployment import ROOT
from plugins.example_plugins import EXAMPLES, copy_example

from apigateway.cli.main import main
from apigateway.tools.plugins.skeletons import skeleton


def test_example_without_its_settings_is_rejected_at_load(tmp_path, capsys):
    folder = copy_example("calendar", "wat", tmp_path, **{'class = "shift-update"': ""})
    assert main(["plugin", "check", str(folder)]) == 2
    assert "failed validation (self-test: returned 3)" in capsys.readouterr().err


@pytest.mark.parametrize("name", ["districts", "calendar", "sampler"])
def test_check_build_and_bench_report_an_example(name, tmp_path, capsys):
    folder = copy_example(name, "wat", tmp_path)
    assert main(["plugin", "check", str(folder)]) == 0
    assert f"{name}: good; wasm, phases request" in capsys.readouterr().out
    assert main(["plugin", "build", str(folder / f"{name}.wat")]) == 0
    text = (folder / "plugin.toml").read_text().replace(".wat", ".wasm")
    (folder / "plugin.toml").write_text(text)
    assert main(["plugin", "bench", str(folder), "--calls", "50", "--json"]) == 0
    report = json.loads(capsys.readouterr().out.partition("bytes\n")[2])
    assert report[f"{name} request"]["fuel"] > 10


@pytest.mark.parametrize("kind", ["rules", "wat"])
def test_skeleton_works_unchanged_and_is_not_overwritten(kind, tmp_path, capsys):
    assert main(["plugin", "new", "first-try", "--kind", kind, "--folder", str(tmp_path)]) == 0
    assert main(["plugin", "check", str(tmp_path / "first-try")]) == 0
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-p",
            "no:cacheprovider",
            "--rootdir",
            str(tmp_path),
            "-c",
            "/dev/null",
            str(tmp_path / "first-try"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0, completed.stdout
    assert main(["plugin", "new", "first-try", "--kind", kind, "--folder", str(tmp_path)]) == 1
    assert set(skeleton("first-try", kind)) == {
        file.name for file in (tmp_path / "first-try").iterdir() if file.is_file()
    }
    assert main(["plugin", "new", "No Name", "--folder", str(tmp_path)]) == 2
    capsys.readouterr()


def write_records(path, count=20):
    """Write records of requests and an incomplete last line; return the path."""
    lines = [
        json.dumps(
            {
                "at": 1790000000.0 + n,
                "id": f"r{n}",
                "customer": f"{n:016x}",
                "plan": "basic",
                "class": "shift-update" if n % 4 == 0 else "roster-read",
                "units": 1.0,
                "left": 3.0,
                "write": n % 4 == 0,
                "tags": {"district": "ernakulam"} if n == 1 else {},
                "attempts": [{"host": "h1", "tags": {}}],
                "outcome": "served",
                "elapsed": 0.1,
            }
        )
        for n in range(count)
    ]
    path.write_text("\n".join(lines) + "\n" + '{"id": "cut')
    return str(path)


def test_run_reports_the_effects_on_recorded_requests(tmp_path, capsys):
    file = write_records(tmp_path / "records")
    assert main(["plugin", "run", str(EXAMPLES / "districts"), file, "--json"]) == 0
    report = json.loads(capsys.readouterr().out)
    assert report["requests"] == 20 and report["tags"]["district=ernakulam"] == 2  # customers 1 and 4
    assert report["other tags than recorded"] == 4 and report["counters"]["districts"] == {"unknown": 15.0}
    assert main(["plugin", "run", str(EXAMPLES / "calendar"), file, "--each"]) == 0
    output = capsys.readouterr().out
    assert "1 r0: refused, back in 1.5 s\n2 r1: nothing\n" in output and "refused: shift-update 5" in output
    (tmp_path / "invalid-records").write_text('{"id": 1}\n')
    assert main(["plugin", "run", str(EXAMPLES / "calendar"), str(tmp_path / "invalid-records")]) == 2


def test_run_with_a_gateways_settings_uses_its_routes(tmp_path, capsys):
    (tmp_path / "gateway.toml").write_text(
        '[[listeners]]\naddress = "127.0.0.1:7000"\n'
        '[routes.batch]\nkinds = ["b"]\n'
        '[classes.roster-read]\neffect = "safe"\naim = 1.0\n'
        "deadline = 3.0\n"
        "[plans.basic]\nrate = 1.0\nburst = 4.0\n"
        '[[plugins]]\nname = "r"\n[[plugins.rules]]\nroute = \'"batch"\'\n'
        "[[plugins.rules]]\nroute = '\"nowhere\"'\n"
    )
    file = write_records(tmp_path / "records")
    path = str(tmp_path / "gateway.toml")
    assert main(["plugin", "run", path, file, "--settings", path, "--json"]) == 0
    report = json.loads(capsys.readouterr().out)
    assert report["routes"] == {"batch": 20} and report["denied"] == {"r: route: unknown route": 20}
    assert main(["check", path]) == 2  # the settings name no hosts file
    capsys.readouterr()


def test_demo_reports_tags_and_rejections_of_plugins():
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "apigateway",
            "demo",
            "--seconds",
            "4",
            "--plugin",
            str(EXAMPLES / "districts"),
            "--plugin",
            str(EXAMPLES / "calendar"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0 and "BROKEN" not in completed.stdout, completed.stdout + completed.stderr
    assert (
        "tagged district=ernakulam" in completed.stdout
        and "refused by calendar: shift-update" in completed.stdout
    )
    completed = subprocess.run(
        [sys.executable, "-m", "apigateway", "demo", "--plugin", "nowhere"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2 and "nowhere" in completed.stdout

"""The examples that ship, in both forms; the command line for those who write plug-ins; the demo's table."""

import json
import subprocess
import sys

import pytest
from rig import ROOT

from apigateway.cli.main import main
from apigateway.plugins.testkit import Kit, settings
from apigateway.tools.plugins.skeletons import skeleton

EXAMPLES = ROOT / "examples" / "plugins"
FORMS = ["wat", "rules"]


def example(name, form, tmp_path, **changes):
    """The example as it ships, or by its rules; `changes` replace text of plugin.toml."""
    folder = tmp_path / f"{name}-{form}"
    folder.mkdir()
    for file in (EXAMPLES / name).iterdir():
        (folder / file.name).write_text(file.read_text())
    text = (folder / "plugin.toml").read_text()
    if form == "rules":
        text = text.replace(f"{name}.wat", "rules.toml")
    for old, new in changes.items():
        assert old in text
        text = text.replace(old, new)
    (folder / "plugin.toml").write_text(text)
    return folder


@pytest.mark.parametrize("form", FORMS)
def test_districts_are_tagged_by_the_table_in_settings(form, tmp_path):
    kit = Kit.load(str(example("districts", form, tmp_path)))
    assert kit.request(customer="0000000000000002").tags == {"district": "thrissur"}
    assert kit.request(customer="00000000000000ff").tags == {}
    assert kit.request(customer="x" * 64).tags == {} and kit.counters("districts") == {"unknown": 2.0}
    kit.close()


@pytest.mark.parametrize("form", FORMS)
def test_a_class_is_refused_in_its_span_and_only_there(form, tmp_path):
    kit = Kit.load(
        str(
            example(
                "calendar",
                form,
                tmp_path,
                **{
                    "2026-01-01T00:00:00+05:30": "2026-08-20T00:00:00+05:30",
                    "2036-01-01T00:00:00+05:30": "2026-08-29T00:00:00+05:30",
                },
            )
        )
    )
    first, last = 1787164200.0, 1787941800.0
    for now, inside in ((first - 1, False), (first, True), (last - 1, True), (last, False)):
        told = kit.request(cls="shift-update", now=now)
        assert told.refuse == (1.5 if inside else None) and not told.denied and not told.failed
        assert kit.request(cls="roster-read", now=now).refuse is None
        assert kit.request(cls="shift-updatf", now=now).refuse is None
    kit.close()


@pytest.mark.parametrize("form", FORMS)
def test_the_sampler_marks_its_share_and_the_same_again(form, tmp_path):
    kit = Kit.load(str(example("sampler", form, tmp_path)))
    marked = [kit.request(id=f"r{n}").tags for n in range(1500)]
    assert all(tags in ({}, {"export": "1"}) for tags in marked)
    share = sum(map(bool, marked))
    assert 100 <= share <= 210 and kit.counters("sampler") == {"marked": share}
    assert [kit.request(id=f"r{n}").tags for n in range(50)] == marked[:50]
    kit.close()


def test_an_example_without_its_settings_is_refused_at_load(tmp_path, capsys):
    folder = example("calendar", "wat", tmp_path, **{'class = "shift-update"': ""})
    assert main(["plugin", "check", str(folder)]) == 2
    assert "failed its proof (self-test: gave 3)" in capsys.readouterr().err


@pytest.mark.parametrize("name", ["districts", "calendar", "sampler"])
def test_check_build_and_bench(name, tmp_path, capsys):
    folder = example(name, "wat", tmp_path)
    assert main(["plugin", "check", str(folder)]) == 0
    assert f"{name}: good; wasm, phases request" in capsys.readouterr().out
    assert main(["plugin", "build", str(folder / f"{name}.wat")]) == 0
    text = (folder / "plugin.toml").read_text().replace(".wat", ".wasm")
    (folder / "plugin.toml").write_text(text)
    assert main(["plugin", "bench", str(folder), "--calls", "50", "--json"]) == 0
    told = json.loads(capsys.readouterr().out.partition("bytes\n")[2])
    assert told[f"{name} request"]["fuel"] > 10


@pytest.mark.parametrize("kind", ["rules", "wat"])
def test_a_skeleton_works_as_it_is_and_is_not_written_over(kind, tmp_path, capsys):
    assert main(["plugin", "new", "first-try", "--kind", kind, "--folder", str(tmp_path)]) == 0
    assert main(["plugin", "check", str(tmp_path / "first-try")]) == 0
    ended = subprocess.run(
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
    assert ended.returncode == 0, ended.stdout
    assert main(["plugin", "new", "first-try", "--kind", kind, "--folder", str(tmp_path)]) == 1
    assert set(skeleton("first-try", kind)) == {
        f.name for f in (tmp_path / "first-try").iterdir() if f.is_file()
    }
    assert main(["plugin", "new", "No Name", "--folder", str(tmp_path)]) == 2
    capsys.readouterr()


def records(path, count=20):
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


def test_a_run_over_records_tells_what_was_proposed_and_what_was_allowed(tmp_path, capsys):
    file = records(tmp_path / "records")
    assert main(["plugin", "run", str(EXAMPLES / "districts"), file, "--json"]) == 0
    told = json.loads(capsys.readouterr().out)
    assert told["requests"] == 20 and told["tags"]["district=ernakulam"] == 2  # customers 1 and 4
    assert told["other tags than recorded"] == 4 and told["counters"]["districts"] == {"unknown": 15.0}
    assert main(["plugin", "run", str(EXAMPLES / "calendar"), file, "--each"]) == 0
    said = capsys.readouterr().out
    assert "1 r0: refused, back in 1.5 s\n2 r1: nothing\n" in said and "refused: shift-update 5" in said
    (tmp_path / "odd").write_text('{"id": 1}\n')
    assert main(["plugin", "run", str(EXAMPLES / "calendar"), str(tmp_path / "odd")]) == 2


def test_a_run_by_a_gateways_settings_knows_its_routes(tmp_path, capsys):
    (tmp_path / "gateway.toml").write_text(
        '[[listeners]]\naddress = "127.0.0.1:7000"\n'
        '[routes.batch]\nkinds = ["b"]\n'
        '[classes.roster-read]\neffect = "safe"\naim = 1.0\n'
        "deadline = 3.0\n"
        "[plans.basic]\nrate = 1.0\nburst = 4.0\n"
        '[[plugins]]\nname = "r"\n[[plugins.rules]]\nroute = \'"batch"\'\n'
        "[[plugins.rules]]\nroute = '\"nowhere\"'\n"
    )
    file = records(tmp_path / "records")
    path = str(tmp_path / "gateway.toml")
    assert main(["plugin", "run", path, file, "--settings", path, "--json"]) == 0
    told = json.loads(capsys.readouterr().out)
    assert told["routes"] == {"batch": 20} and told["denied"] == {"r: route: unknown route": 20}
    assert main(["check", path]) == 2  # it names no hosts file
    capsys.readouterr()


def test_a_test_kit_tells_what_was_denied_and_what_failed(tmp_path):
    (tmp_path / "plugin.toml").write_text("""
[[plugins]]
name = "odd"
[[plugins.rules]]
tag = { a = '"1"' }
refuse = '9'
when = 'class == "roster-read"'
[[plugins.rules]]
when = 'class == "shift-update"'
tag = { b = 'customer == "f" ? string(1 / 0) : "2"' }
[[plugins.rules]]
on = "attempt"
tag = { a = 'host', n = 'attempt' }
[[plugins.rules]]
on = "answer"
count = { slow = 'elapsed > 1 ? 1 : 0', served = 'outcome == "served" ? 1 : 0' }
[[plugins.rules]]
on = "tick"
count = { ticks = '1' }
""")
    kit = Kit.load(str(tmp_path / "plugin.toml"), settings(routes={"batch": ["b"]}))
    told = kit.request()
    assert (told.tags, told.refuse, told.denied) == ({"a": "1"}, 2.0, [("odd", "refuse: wait cut")])
    told = kit.request(cls="shift-update", customer="f")
    assert told.tags == {} and told.failed == [("odd", "error")]
    assert kit.attempt(told, "h7") == {"a": "h7", "n": "0"} and kit.attempt(told, "h8") == {
        "a": "h8",
        "n": "1",
    }
    kit.answer(told, elapsed=2.0)
    kit.tick()
    assert kit.counters("odd") == {"slow": 1.0, "served": 1.0, "ticks": 1.0}
    kit.close()


def test_the_demo_names_tags_and_refusals_of_plug_ins():
    ended = subprocess.run(
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
    assert ended.returncode == 0 and "BROKEN" not in ended.stdout, ended.stdout + ended.stderr
    assert "tagged district=ernakulam" in ended.stdout and "refused by calendar: shift-update" in ended.stdout
    ended = subprocess.run(
        [sys.executable, "-m", "apigateway", "demo", "--plugin", "nowhere"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ended.returncode == 2 and "nowhere" in ended.stdout


def test_what_is_off_is_not_imported():
    code = (
        "import sys, apigateway.daemon.serve, apigateway.daemon.gateway_server; "
        "print(sorted(m for m in sys.modules if m.startswith(('apigateway.plugins', 'wasmtime'))))"
    )
    ended = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert ended.stdout == "['apigateway.plugins', 'apigateway.plugins.settings']\n", (
        ended.stderr
    )  # shapes alone


def test_rules_need_no_engine(tmp_path):
    folder = example("districts", "rules", tmp_path)
    code = (
        f"import sys; from apigateway.plugins.testkit import Kit; Kit.load({str(folder)!r}); "
        "print('wasmtime' in sys.modules)"
    )
    ended = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert ended.stdout == "False\n", ended.stderr

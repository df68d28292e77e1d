"""Tests of loading plug-ins: reported problems, and the reuse of unchanged plug-ins."""

import sys

import pytest
from plugins.plugin_fakes import load, plugin_section

from apigateway.config_validation import InvalidConfigFileError
from apigateway.plugins.settings import BudgetSection, RuleSection
from apigateway.plugins.testkit import module, says


@pytest.mark.parametrize(
    "make_section, key, expected_reason",
    [
        (lambda folder: plugin_section(), "plugins[0].file", "neither a file nor rules"),
        (lambda folder: plugin_section(file="x.py"), "plugins[0].file", "cannot be read"),
        (
            lambda folder: (folder / "x.py").write_text("1") and plugin_section(file="x.py"),
            "plugins[0].file",
            "neither .wasm",
        ),
        (
            lambda folder: (folder / "x.wasm").write_bytes(b"\0asm\1\0\0") and plugin_section(file="x.wasm"),
            "plugins[0].file",
            "not a valid module",
        ),
        (
            lambda folder: (
                (folder / "x.wasm").write_bytes(bytes(50 * 1024 * 1024)) and plugin_section(file="x.wasm")
            ),
            "plugins[0].file",
            "52428800 bytes",
        ),
        (
            lambda folder: (folder / "x.wat").mkdir() or plugin_section(file="x.wat"),
            "plugins[0].file",
            "not a regular file",
        ),
        (
            lambda folder: (
                (folder / "x.wat").write_text(
                    module(says("tag a 1").replace("(i64.const", "unreachable (i64.const"))
                )
                and plugin_section(file="x.wat")
            ),
            "plugins[0].file",
            "failed validation (trap",
        ),
        (
            lambda folder: (
                (folder / "x.wat").write_text(module("(func $s (loop $l (br $l))) (start $s)" + says("")))
                and plugin_section(file="x.wat")
            ),
            "plugins[0].file",
            "failed validation (fuel",
        ),
        (
            lambda folder: plugin_section(rules=[RuleSection(when="1")]),
            "plugins[0].rules[0].when",
            "evaluates to number",
        ),
        (
            lambda folder: plugin_section(rules=[RuleSection(tag={"A b": "id"})]),
            "plugins[0].rules[0].tag",
            "lower-case letters",
        ),
        (
            lambda folder: plugin_section(rules=[RuleSection(on="answer", refuse="1")]),
            "plugins[0].rules[0].refuse",
            "not allowed in the phase",
        ),
        (
            lambda folder: plugin_section(rules=[RuleSection(tag={"a": "1 / 0"})]),
            "plugins[0].rules",
            "failed validation (error",
        ),
        (
            lambda folder: (
                (folder / "r.toml").write_text("[[rules]]\nwhen = 'missing'")
                and plugin_section(file="r.toml")
            ),
            "rules[0].when",
            "no field 'missing'",
        ),
        (
            lambda folder: (
                (folder / "r.toml").write_text("[[rules]]\nwhn = 'missing'") and plugin_section(file="r.toml")
            ),
            "rules[0].whn",
            "unknown key",
        ),
        (
            lambda folder: (folder / "r.toml").write_text("x = ") and plugin_section(file="r.toml"),
            "plugins[0].file",
            "not TOML",
        ),
        (
            lambda folder: (folder / "r.toml").write_text("\n") and plugin_section(file="r.toml"),
            "plugins[0].file",
            "no rule",
        ),
    ],
)
def test_unusable_plugin_is_reported_by_file_key_value_and_reason(
    make_section, key, expected_reason, tmp_path
):
    with pytest.raises(InvalidConfigFileError) as caught:
        load(tmp_path, make_section(tmp_path))
    (problem,) = caught.value.problems
    assert (
        problem.key == key
        and expected_reason in problem.reason
        and problem.remedy
        and str(tmp_path) in problem.file
    )


def test_all_problems_are_reported_at_once_and_names_are_unique(tmp_path):
    with pytest.raises(InvalidConfigFileError) as caught:
        load(
            tmp_path,
            plugin_section(rules=[RuleSection()]),
            plugin_section(rules=[RuleSection()]),
            plugin_section("q", file="missing.wat"),
        )
    assert [problem.key for problem in caught.value.problems] == ["plugins[1].name", "plugins[2].file"]


def test_module_is_rejected_with_an_install_hint_if_the_engine_is_missing(tmp_path, monkeypatch):
    (tmp_path / "a.wat").write_text(module(says("tag a 1")))
    monkeypatch.setitem(sys.modules, "wasmtime", None)
    with pytest.raises(InvalidConfigFileError, match="needs wasmtime.*pip install"):
        load(tmp_path, plugin_section("a", file="a.wat"))
    assert load(tmp_path, plugin_section("b", rules=[RuleSection()])).runners  # rules do not need the engine


def test_unchanged_plugin_is_reused(tmp_path):
    (tmp_path / "a.wat").write_text(module(says("tag a 1")))
    sections = [plugin_section("a", file="a.wat"), plugin_section("b", rules=[RuleSection(tag={"b": "'1'"})])]
    first = load(tmp_path, *sections)
    same = load(tmp_path, *sections, current=first)
    assert [runner in first.runners for runner in same.runners] == [True, True]
    (tmp_path / "a.wat").write_text(module(says("tag a 2")))
    new = load(tmp_path, *sections, current=first)
    assert [runner in first.runners for runner in new.runners] == [False, True]
    wider = load(
        tmp_path, plugin_section("a", file="a.wat", budget=BudgetSection(fuel=5000)), sections[1], current=new
    )
    assert [runner in new.runners for runner in wider.runners] == [False, True]

"""Tests of validation in a separate process, with modules that end or hang that process."""

import os
import time

import pytest

from apigateway.plugins.interfaces import Budget
from apigateway.plugins.isolated_validation import PROCESS_ENDED_REASON, ValidationJob, validate_isolated
from apigateway.plugins.testkit import module, says
from apigateway.plugins.testkit import settings as gateway_settings


class AbortOnUnpickling:
    """Aborts the process that unpickles it."""

    def __reduce__(self):
        return os.abort, ()


class HangOnUnpickling:
    def __reduce__(self):
        return time.sleep, (600,)


@pytest.mark.parametrize(
    "breaking_settings, expected_reason",
    [(AbortOnUnpickling(), "exit code -6"), (HangOnUnpickling(), "timed out after 5 s")],
)
def test_module_that_ends_or_hangs_its_process_is_reported_and_the_others_are_validated(
    breaking_settings, expected_reason
):
    raw = module(says("tag a 1")).encode()
    jobs = [
        ValidationJob("p", raw, settings, Budget(), 0, gateway_settings())
        for settings in ({}, breaking_settings, {}, {})
    ]
    jobs[3] = ValidationJob("p", b"(module", {}, Budget(), 0, gateway_settings())
    reasons = validate_isolated(jobs, 5.0)
    assert (
        reasons[0] == reasons[2] == ""
        and expected_reason in reasons[1]
        and "cannot be assembled" in reasons[3]
    )


@pytest.mark.parametrize(
    "body",
    [
        '(func (export "on_answer") (param (ref null any)))',
        '(func (export "self_test") (param exnref))',
        '(type $t (func)) (func (export "on_tick") (param (ref $t)))',
        '(func (export "on_load") (param (ref func)))',
        '(func (export "on_save") (param i31ref))',
    ],
)
def test_types_that_the_c_api_lacks_are_rejected_without_ending_the_process(body):
    """These types aborted the process, as a test with mutated modules showed."""
    (reason,) = validate_isolated(
        [ValidationJob("p", module(says("") + body).encode(), {}, Budget(), 0, gateway_settings())]
    )
    assert reason and PROCESS_ENDED_REASON not in reason


# Guards against code in the working directory that the validating process would import and run.
def test_modules_of_the_working_directory_are_not_imported(tmp_path, monkeypatch):
    marker = tmp_path / "imported"
    for name in ("wasmtime", "msgspec"):
        (tmp_path / f"{name}.py").write_text(f"open({str(marker)!r}, 'w')\nraise ImportError\n")
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv("PYTHONPATH", os.pathsep)
    job = ValidationJob("p", module(says("tag a 1")).encode(), {}, Budget(), 0, gateway_settings())
    assert validate_isolated([job]) == [""]
    assert not marker.exists()

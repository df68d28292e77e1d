"""Validates WebAssembly modules in a separate process before they are loaded into the gateway.

The engine isolates a running module, but its C API aborts the process on types of the WebAssembly standard
that it cannot represent. A module that is loaded by a running gateway must not abort that gateway.
"""

from __future__ import annotations

import io
import pickle
import subprocess
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from apigateway import messages
from apigateway.child_python import child_command, child_environment
from apigateway.plugins.interfaces import Budget, PluginError

DEFAULT_TIMEOUT_S = 20.0  # of a process, which validates all modules of a load unless one ends it
PROCESS_ENDED_REASON = "ended the process that validated it"

_VALID = "good"  # output line for a valid module; otherwise the line is the reason
_UNKNOWN_REASON = "no reason given"  # in place of an empty reason, which would mean that the module is valid


@dataclass(frozen=True, slots=True)
class ValidationJob:
    """A module to validate.

    Attributes:
        name: Name of the plug-in.
        raw: Binary or text of the module.
        settings: Settings of the plug-in.
        budget: Budget of the plug-in.
        seed: Seed of the module's random numbers.
        gateway_settings: Settings of the gateway that loads the module.
    """

    name: str
    raw: bytes
    settings: Mapping[str, Any]
    budget: Budget
    seed: int
    gateway_settings: messages.Settings


class ProcessResult(NamedTuple):
    """The output of one validation process.

    Attributes:
        reasons: Why a module cannot be used, empty if it is valid; in order, for the modules processed.
        process_end: How the process ended.
    """

    reasons: list[str]
    process_end: str


def validate_isolated(jobs: Sequence[ValidationJob], timeout: float = DEFAULT_TIMEOUT_S) -> list[str]:
    """Return for each module why it cannot be used; empty if it is valid.

    If a module ends the process, a new process continues with the next module. `timeout` is in seconds and
    applies to each process.
    """
    reasons: list[str] = []
    while len(reasons) < len(jobs):
        result = _run_process(jobs[len(reasons) :], timeout)
        reasons += result.reasons
        if len(reasons) < len(jobs):
            reasons.append(f"{PROCESS_ENDED_REASON} ({result.process_end})")
    return reasons


def _run_process(jobs: Sequence[ValidationJob], timeout: float) -> ProcessResult:
    try:
        completed = subprocess.run(
            child_command("apigateway.plugins.isolated_validation"),
            input=b"".join(map(pickle.dumps, jobs)),
            capture_output=True,
            timeout=timeout,
            env=child_environment(),
            check=False,  # the exit code is part of the result
        )
        output = completed.stdout
        process_end = f"exit code {completed.returncode}"
    except subprocess.TimeoutExpired as err:
        output = err.stdout or b""
        process_end = f"timed out after {timeout:.0f} s"
    lines = output.decode("utf-8", "replace").split("\n")[:-1]  # drops an incomplete last line
    reasons = [line.removeprefix(_VALID).strip() for line in lines[: len(jobs)]]
    return ProcessResult(reasons, process_end)


def main() -> None:
    """Validate the pickled jobs on stdin; write one line for each: `good`, or why it cannot be used."""
    stream = io.BytesIO(sys.stdin.buffer.read())
    while stream.tell() < len(stream.getbuffer()):
        result = _validate_module(pickle.load(stream))
        print(" ".join(result.split()) or _UNKNOWN_REASON, flush=True)


def _validate_module(job: ValidationJob) -> str:
    """Return `good`, or why the module cannot be used."""
    from apigateway.plugins.validation import validate
    from apigateway.plugins.wasm import InvalidModuleError, WasmPlugin

    try:
        plugin = WasmPlugin(job.name, job.raw, job.settings, job.budget, job.seed)
        validate(plugin, job.gateway_settings)
        plugin.close()
    except InvalidModuleError as err:
        return str(err)
    except PluginError as err:
        return f"failed validation ({err})"
    return _VALID


if __name__ == "__main__":
    main()

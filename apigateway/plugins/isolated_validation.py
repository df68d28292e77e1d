"""Validates modules in a process of its own before this one touches them.

The engine is safe against what a module does when it runs, but its C interface ends the process where it
meets a part of the standard that it has no form for. What is loaded while a gateway serves must not find that
out there.
"""

from __future__ import annotations

import io
import os
import pickle
import subprocess
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from apigateway import messages
from apigateway.plugins.interfaces import Budget, PluginError

DEFAULT_TIMEOUT = 20.0  # s for all modules of one load
PROCESS_ENDED = "ended the process that it was tried in"

_VALID = "good"  # what the process writes of a module; else why it cannot be used
_UNEXPLAINED = "odd"  # a reason that says nothing
_ROOT = Path(__file__).resolve().parents[2]  # the folder that the package is imported from


@dataclass(frozen=True, slots=True)
class ValidationJob:
    """A module to validate.

    Attributes:
        raw: Its binary or text.
        gateway_settings: Those of the gateway that it is to serve in.
    """

    name: str
    raw: bytes
    settings: Mapping[str, Any]
    budget: Budget
    seed: int
    gateway_settings: messages.Settings


class ProcessResult(NamedTuple):
    """What one process came to.

    Attributes:
        reasons: Why modules cannot be used, empty where they can; as many as it came to.
        ending: How the process ended.
    """

    reasons: list[str]
    ending: str


def validate_isolated(jobs: Sequence[ValidationJob], timeout: float = DEFAULT_TIMEOUT) -> list[str]:
    """Return for each module why it cannot be used, empty where it can.

    A process that ends early is started again behind the module that ended it. `timeout` is in seconds, for
    each process.
    """
    reasons: list[str] = []
    while len(reasons) < len(jobs):
        result = _run_process(jobs[len(reasons) :], timeout)
        reasons += result.reasons
        if len(reasons) < len(jobs):
            reasons.append(f"{PROCESS_ENDED} ({result.ending})")
    return reasons


def _run_process(jobs: Sequence[ValidationJob], timeout: float) -> ProcessResult:
    try:
        ended = subprocess.run(
            [sys.executable, "-m", "apigateway.plugins.isolated_validation"],
            input=b"".join(map(pickle.dumps, jobs)),
            capture_output=True,
            timeout=timeout,
            env=_environment(),
            check=False,  # how it ended is part of the result
        )
        output = ended.stdout
        ending = f"exit code {ended.returncode}"
    except subprocess.TimeoutExpired as err:
        output = err.stdout or b""
        ending = f"not done in {timeout:.0f} s"
    lines = output.decode("utf-8", "replace").split("\n")[:-1]  # a line that was cut is none
    reasons = [line.removeprefix(_VALID).strip() for line in lines[: len(jobs)]]
    return ProcessResult(reasons, ending)


def _environment() -> dict[str, str]:
    """Return an environment in which this package is found."""
    paths = [str(_ROOT)]
    inherited = os.environ.get("PYTHONPATH")
    if inherited:
        paths.append(inherited)
    return os.environ | {"PYTHONPATH": os.pathsep.join(paths)}


def main() -> None:
    """Validate the pickled jobs of stdin; write a line for each: `good`, or why it cannot be used."""
    stream = io.BytesIO(sys.stdin.buffer.read())
    while stream.tell() < len(stream.getbuffer()):
        result = _validate_module(pickle.load(stream))
        print(" ".join(result.split()) or _UNEXPLAINED, flush=True)


def _validate_module(job: ValidationJob) -> str:
    """Return `good`, or why a module cannot be used."""
    from apigateway.plugins.validation import validate
    from apigateway.plugins.wasm import InvalidModuleError, WasmPlugin

    try:
        plugin = WasmPlugin(job.name, job.raw, job.settings, job.budget, job.seed)
        validate(plugin, job.gateway_settings)
        plugin.close()
    except InvalidModuleError as err:
        return str(err)
    except PluginError as err:
        return f"failed its proof ({err})"
    return _VALID


if __name__ == "__main__":
    main()

"""Modules tried in a process of their own before this one touches them.

The engine is safe against what a module does when it runs, but its C interface ends the process where it
meets a
part of the standard that it has no form for. What is loaded while a gateway serves must not find that out
there.
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
from typing import Any

from apigateway import messages
from apigateway.plugins.interfaces import Budget, PluginError

LONGEST = 20.0  # s for all modules of one load

ENDED = "ended the process that it was tried in"


@dataclass(frozen=True, slots=True)
class Trial:
    name: str
    raw: bytes
    settings: Mapping[str, Any]
    budget: Budget
    seed: int
    gateway: messages.Settings


def tried(trials: Sequence[Trial], longest: float = LONGEST) -> list[str]:
    """For each why it cannot be used, empty where it can. A process that ends early is begun again behind
    the one
    that ended it."""
    told: list[str] = []
    while len(told) < len(trials):
        before = len(told)
        lines, how = one_process(trials[before:], longest)
        told += lines
        if len(told) < len(trials):
            told.append(f"{ENDED} ({how})")
    return told


def one_process(trials: Sequence[Trial], longest: float) -> tuple[list[str], str]:
    """The reasons that it told, and how it ended."""
    place = str(Path(__file__).resolve().parents[2])
    environment = os.environ | {
        "PYTHONPATH": os.pathsep.join([place] + [p for p in [os.environ.get("PYTHONPATH")] if p])
    }
    try:
        ended = subprocess.run(
            [sys.executable, "-m", "apigateway.plugins.apart"],
            input=b"".join(map(pickle.dumps, trials)),
            capture_output=True,
            timeout=longest,
            env=environment,
        )
        out, how = ended.stdout, f"exit code {ended.returncode}"
    except subprocess.TimeoutExpired as err:
        out, how = err.stdout or b"", f"not done in {longest:.0f} s"
    lines = out.decode("utf-8", "replace").split("\n")[:-1]  # a line that was cut is none
    return [line.removeprefix("good").strip() for line in lines[: len(trials)]], how


def main() -> None:
    """One line for each trial on stdin: `good`, or why not."""
    from apigateway.plugins.load import prove
    from apigateway.plugins.wasm import InvalidModuleError, WasmPlugin

    stream = io.BytesIO(sys.stdin.buffer.read())
    while stream.tell() < len(stream.getbuffer()):
        trial, why = pickle.load(stream), "good"
        try:
            plugin = WasmPlugin(trial.name, trial.raw, trial.settings, trial.budget, trial.seed)
            prove(plugin, trial.gateway)
            plugin.close()
        except InvalidModuleError as err:
            why = f"{err}"
        except PluginError as err:
            why = f"failed its proof ({err})"
        print(" ".join(why.split()) or "odd", flush=True)


if __name__ == "__main__":
    main()

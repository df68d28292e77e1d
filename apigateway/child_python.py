"""How to start a Python process of this package that imports nothing from the working directory."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from pathlib import Path

_IMPORT_ROOT = Path(__file__).resolve().parents[1]  # folder from which this package is imported


def child_command(module: str) -> list[str]:
    """Return the command that runs a module; -P keeps the working directory off the import path."""
    return [sys.executable, "-P", "-m", module]


def child_environment(environment: Mapping[str, str] = os.environ) -> dict[str, str]:
    """Return environment variables with which a child process can import this package."""
    # An empty entry would stand for the working directory.
    inherited = [path for path in environment.get("PYTHONPATH", "").split(os.pathsep) if path]
    return {**environment, "PYTHONPATH": os.pathsep.join([str(_IMPORT_ROOT), *inherited])}

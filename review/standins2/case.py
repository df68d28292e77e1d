"""Runs a case: its time limit, its clean-up, its record and its exit code."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Protocol

from standins2.record import Record

LIMIT_S = 110.0
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class Opened(Protocol):
    """A stand-in that listens."""

    async def open(self) -> None:
        """Listen."""

    def close(self) -> None:
        """Stop."""


class Stage(AsyncExitStack):
    """What a case has opened; all of it is closed at the case's end.

    Attributes:
        record: The record of the case.
        folder: An empty folder.
    """

    def __init__(self, folder: Path) -> None:
        super().__init__()
        self.record = Record()
        self.folder = folder

    async def opened(self, *standins: Opened) -> None:
        """Open stand-ins."""
        for standin in standins:
            await standin.open()
            self.callback(standin.close)


class CouldNotRunError(Exception):
    """The case could not bring about what it tests."""


def run(folder: Path, play: Callable[[Stage], Awaitable[None]]) -> None:
    """Play a case, write `record.txt` into its folder, and exit with its code."""
    code = asyncio.run(_run(folder, play))
    sys.exit(code)


async def _run(folder: Path, play: Callable[[Stage], Awaitable[None]]) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory() as scratch:
        stage = Stage(Path(scratch))
        code = COULD_NOT_RUN
        verdict = "could not run"
        try:
            async with stage, asyncio.timeout(LIMIT_S):
                await play(stage)
            code = BROKEN if stage.record.breaches else HELD
            verdict = "the rule was broken" if stage.record.breaches else "the rule held"
        except (Exception, asyncio.CancelledError):
            verdict += "\n" + traceback.format_exc()
        stage.record.write(folder / "record.txt", verdict)
        print(verdict, *stage.record.breaches[:10], sep="\n")
    return code

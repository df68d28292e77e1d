"""Signals that come before there is a gateway: while modules are loaded and the configuration is read.

By the system's default each would end the process. A SIGHUP would be a crash; the file that it speaks of may
have been read already, so it is kept until there is a gateway to reload. A SIGTERM ends the process at once:
nothing was taken, so nothing is owed. Nothing else is imported here, for the start is long only by imports.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

_hups: list[int] = []


def listen() -> None:
    """Until the loop's own handlers take over. To be called before anything that takes time."""
    signal.signal(signal.SIGHUP, note)
    signal.signal(signal.SIGTERM, end)


def note(number: int = signal.SIGHUP, frame: FrameType | None = None) -> None:
    _hups.append(number)


def end(number: int, frame: FrameType | None) -> None:
    """No clean-up: half of the modules may be loaded, and nothing is open yet but what the system closes."""
    os._exit(0)


def told_to_reload() -> bool:
    """Whether a SIGHUP came since `listen`, once: it is forgotten then."""
    told = bool(_hups)
    _hups.clear()
    return told

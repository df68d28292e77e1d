"""Handle signals that arrive before the gateway exists: during imports and while the settings are read.

By default each of these signals would kill the process. A SIGHUP must not, and the file that it refers to may
have been read already, so the request is kept until there is a gateway to reload. A SIGTERM exits at once,
since no request has been accepted yet. This module imports nothing from the package, since imports take up
most of the start time.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

_pending_reloads: list[int] = []


def install_handlers() -> None:
    """Handle SIGHUP and SIGTERM until the event loop's own handlers replace these.

    Call this before any slow import.
    """
    signal.signal(signal.SIGHUP, record_reload)
    signal.signal(signal.SIGTERM, _exit_at_once)


def record_reload(number: int = signal.SIGHUP, frame: FrameType | None = None) -> None:
    """Record a SIGHUP for `take_reload_request`."""
    _pending_reloads.append(number)


def take_reload_request() -> bool:
    """Return whether a SIGHUP arrived since the last call, and clear it."""
    is_requested = bool(_pending_reloads)
    _pending_reloads.clear()
    return is_requested


def _exit_at_once(number: int, frame: FrameType | None) -> None:
    """Exit without clean-up: modules may be partly loaded, and the kernel closes all open files."""
    os._exit(0)

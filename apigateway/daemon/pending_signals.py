"""Handle signals that arrive before the gateway exists: during imports and while the settings are read.

By default these signals end the process, which for a SIGHUP would be a crash. The file to reload may have
been read already, so the SIGHUP is recorded until there is a gateway that can reload it. A SIGTERM or SIGINT
ends the process immediately, since no request has been accepted yet. This module imports nothing from the
package, since imports take up most of the start time.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

_pending_reloads: list[int] = []


def install_handlers() -> None:
    """Handle SIGHUP, SIGTERM and SIGINT until the event loop's own handlers replace these.

    Call this before any slow import.
    """
    signal.signal(signal.SIGHUP, record_reload)
    signal.signal(signal.SIGTERM, _exit_immediately)
    signal.signal(signal.SIGINT, _exit_immediately)  # Python's own would raise within an import


def record_reload(signal_number: int = signal.SIGHUP, frame: FrameType | None = None) -> None:
    """Record a SIGHUP for `take_reload_request`."""
    _pending_reloads.append(signal_number)


def take_reload_request() -> bool:
    """Return whether a SIGHUP arrived since the last call, and clear it."""
    is_requested = bool(_pending_reloads)
    _pending_reloads.clear()
    return is_requested


def _exit_immediately(signal_number: int, frame: FrameType | None) -> None:
    """Exit without clean-up: modules may be partly loaded, and the kernel closes all open files."""
    os._exit(0)

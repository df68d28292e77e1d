"""Handle the signals that come before there is a gateway: during imports and while the settings are read.

By the system's default each would end the process. A SIGHUP would be a crash; the file that it is about may
have been read already, so it is kept until there is a gateway to reload. A SIGTERM ends the process at once:
no request has been accepted. This module imports nothing of the package, since the start takes long only by
imports.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

_pending_reloads: list[int] = []


def install_handlers() -> None:
    """Handle SIGHUP and SIGTERM until the event loop's own handlers replace these.

    To be called before anything that takes time.
    """
    signal.signal(signal.SIGHUP, record_reload)
    signal.signal(signal.SIGTERM, _exit_at_once)


def record_reload(number: int = signal.SIGHUP, frame: FrameType | None = None) -> None:
    """Keep a SIGHUP for `take_reload_request`."""
    _pending_reloads.append(number)


def take_reload_request() -> bool:
    """Return whether a SIGHUP came since the last call, and forget it."""
    is_requested = bool(_pending_reloads)
    _pending_reloads.clear()
    return is_requested


def _exit_at_once(number: int, frame: FrameType | None) -> None:
    """Exit without clean-up: modules may be half loaded, and the system closes all that is open yet."""
    os._exit(0)

"""Log the lag of the event loop at level DEBUG."""

from __future__ import annotations

import asyncio
import logging

PROBE_INTERVAL_S = 0.01
MIN_LOGGED_LAG_S = 0.01

log = logging.getLogger(__name__)


def start_loop_lag_log(loop: asyncio.AbstractEventLoop) -> None:
    """Log each timer that runs late by MIN_LOGGED_LAG_S or more, if lines of level DEBUG are logged."""
    if log.isEnabledFor(logging.DEBUG):
        _schedule_probe(loop)


def _schedule_probe(loop: asyncio.AbstractEventLoop) -> None:
    due_at = loop.time() + PROBE_INTERVAL_S
    loop.call_at(due_at, _probe, loop, due_at)


def _probe(loop: asyncio.AbstractEventLoop, due_at: float) -> None:
    lag_s = loop.time() - due_at
    if lag_s >= MIN_LOGGED_LAG_S:
        log.debug("event loop lag %.4f s", lag_s)
    _schedule_probe(loop)

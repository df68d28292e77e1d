"""A call to the counter, from its creation until its result is reported."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

from apigateway.event_loop import call_after_poll
from apigateway.messages import CounterCallResult

ResultCallback = Callable[[int, CounterCallResult, float, float], None]
"""Called with the counter key, the result, the new total (0 unless `OK`) and the elapsed seconds."""


class PendingCall:
    """A call whose result is reported exactly once: by its reply, its deadline or the loss of its connection.

    Attributes:
        counter_key: Key of the total to add to, or `connection.PING_KEY`.
        started_at: Time of the call, in seconds of the monotonic clock.
    """

    __slots__ = ("counter_key", "started_at", "_on_result", "_deadline_timer")

    def __init__(self, counter_key: int, on_result: ResultCallback | None) -> None:
        self.counter_key = counter_key
        self.started_at = monotonic()
        self._on_result = on_result
        self._deadline_timer: asyncio.TimerHandle | None = None

    def set_deadline(self, loop: asyncio.AbstractEventLoop, timeout: float) -> None:
        """Finish the call with `TIMEOUT` unless its reply has arrived within `timeout` seconds."""
        self._deadline_timer = loop.call_later(
            timeout, call_after_poll, loop, self.finish, CounterCallResult.TIMEOUT
        )

    def finish(self, result: CounterCallResult, total: float = 0.0) -> None:
        """Report the result, unless one has already been reported.

        A call that timed out stays in its connection's queue, because its reply may still arrive and must be
        matched to it. The later result is dropped here.
        """
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        on_result = self._on_result
        self._on_result = None
        if on_result is not None:
            on_result(self.counter_key, result, total, monotonic() - self.started_at)

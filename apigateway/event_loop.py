"""Let the event loop read its sockets before it acts on a timeout.

uvloop runs the timers that are due before it polls the sockets. After a pause of the process (a garbage
collection, a machine short of CPU) a timeout would therefore expire although its reply has already arrived.
A timeout whose callback is passed through this module expires one poll later, never more than once.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol


class CallbackScheduler(Protocol):
    """The part of an event loop that runs callbacks."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> Any:
        """Call `callback` in the next iteration of the event loop."""


def call_after_poll(loop: CallbackScheduler, callback: Callable[..., object], *args: Any) -> None:
    """Call `callback` once the sockets have been polled and what has arrived on them has been handled.

    To be used as the callback of a timer. `callback` has to check whether the timeout still applies.
    """
    # uvloop runs the first callback in the iteration of the timer, before it polls, and the second one in the
    # next iteration. A loop with callbacks to run polls without waiting.
    loop.call_soon(loop.call_soon, callback, *args)


@contextlib.asynccontextmanager
async def timeout_after_poll(seconds: float) -> AsyncIterator[None]:
    """Limit the duration of a context like `asyncio.timeout`, but expire only after polling the sockets.

    Raises TimeoutError when it expires.
    """
    loop = asyncio.get_running_loop()
    is_over = False
    async with asyncio.timeout(None) as timeout:

        def expire() -> None:
            if not is_over:
                timeout.reschedule(loop.time())

        # After the first poll the transport reports the result, after the second one the waiting task has it.
        timer = loop.call_later(seconds, call_after_poll, loop, call_after_poll, loop, expire)
        try:
            yield
        finally:
            is_over = True
            timer.cancel()

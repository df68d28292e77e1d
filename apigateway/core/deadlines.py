"""The times by which a request is answered, and the timer that sees to it."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from apigateway.core.in_flight_request import InFlightRequest
from apigateway.core.interfaces import Scheduler

# Seconds before the client gives up by which the decision module is to be done: the answer's way back.
RESPONSE_MARGIN_S = 0.03
# Seconds before the client gives up at which a request without an answer is failed, whatever the decision
# module does.
DEADLINE_GUARD_MARGIN_S = 0.01
# Seconds; a client that says it will wait for longer is in error.
MAX_REQUEST_TIMEOUT_S = 3600.0

log = logging.getLogger(__name__)


class DeadlineGuard:
    """Abort each request that the decision module has not answered in its client's time.

    Args:
        loop: The event loop's timers.
        abort: Fails a request without the decision module.
    """

    def __init__(self, loop: Scheduler, abort: Callable[[InFlightRequest], None]) -> None:
        self._loop = loop
        self._abort = abort

    def start(self, in_flight: InFlightRequest) -> None:
        """Start the timer of an accepted request; its final answer cancels it."""
        guard_at = in_flight.deadline + RESPONSE_MARGIN_S - DEADLINE_GUARD_MARGIN_S
        delay = max(0.0, guard_at - time.monotonic())
        in_flight.deadline_timer = self._loop.call_later(delay, self.on_deadline, in_flight)

    def on_deadline(self, in_flight: InFlightRequest) -> None:
        """Fail a request that has no final answer yet."""
        if not in_flight.is_finished:
            log.warning("request %s: no decision before its deadline", in_flight.request_id)
            self._abort(in_flight)

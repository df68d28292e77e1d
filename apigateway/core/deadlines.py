"""The deadlines of requests, and the timer that enforces them."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from apigateway.core.in_flight_request import InFlightRequest
from apigateway.core.interfaces import Scheduler

# Time between the decision module's deadline and the client's timeout, reserved for sending the response.
RESPONSE_MARGIN_S = 0.03
# Time before the client's timeout at which a request without a response is failed, regardless of the decision
# module.
DEADLINE_GUARD_MARGIN_S = 0.01
# Longest timeout that a client may send; a longer one is rejected as invalid.
MAX_REQUEST_TIMEOUT_S = 3600.0

log = logging.getLogger(__name__)


class DeadlineGuard:
    """Aborts each request that has no final response shortly before its client's timeout.

    Args:
        loop: Timers of the event loop.
        abort: Fails a request without asking the decision module.
    """

    def __init__(self, loop: Scheduler, abort: Callable[[InFlightRequest], None]) -> None:
        self._loop = loop
        self._abort = abort

    def start(self, in_flight: InFlightRequest) -> None:
        """Start the timer of an accepted request; the final response cancels it."""
        guard_at = in_flight.deadline + RESPONSE_MARGIN_S - DEADLINE_GUARD_MARGIN_S
        delay = max(0.0, guard_at - time.monotonic())
        in_flight.deadline_timer = self._loop.call_later(delay, self.on_deadline, in_flight)

    def on_deadline(self, in_flight: InFlightRequest) -> None:
        """Abort a request that has no final response yet."""
        if not in_flight.is_finished:
            log.warning("request %s: no decision before its deadline", in_flight.request_id)
            self._abort(in_flight)

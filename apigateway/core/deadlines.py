"""The deadlines of requests, and the timer that enforces them."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from apigateway.core.in_flight_request import InFlightRequest
from apigateway.core.interfaces import Scheduler
from apigateway.event_loop import call_after_poll

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
        expire_check: Ends a request's check by the external rate limiter without its decision.
        expire_attempts: Ends a request's attempts with a timeout and notifies the decision module.
        expire_timers: Notifies the decision module of its timers that are due.
    """

    def __init__(
        self,
        loop: Scheduler,
        abort: Callable[[InFlightRequest], None],
        expire_check: Callable[[InFlightRequest], None],
        expire_attempts: Callable[[InFlightRequest], None],
        expire_timers: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._abort = abort
        self._expire_check = expire_check
        self._expire_attempts = expire_attempts
        self._expire_timers = expire_timers

    def start(self, in_flight: InFlightRequest) -> None:
        """Start the timer of an accepted request; the final response cancels it."""
        guard_at = in_flight.deadline + RESPONSE_MARGIN_S - DEADLINE_GUARD_MARGIN_S
        delay = max(0.0, guard_at - time.monotonic())
        in_flight.deadline_timer = self._loop.call_later(delay, self.on_deadline, in_flight)

    def on_deadline(self, in_flight: InFlightRequest) -> None:
        """Abort a request that has no final response yet.

        After a pause of the process that outlasted the client's timeout the response is late in any case, so
        a value that has arrived meanwhile is still read.
        """
        if time.monotonic() >= in_flight.deadline + RESPONSE_MARGIN_S:
            call_after_poll(self._loop, self._abort_undecided, in_flight)
        else:
            self._abort_undecided(in_flight)

    def _abort_undecided(self, in_flight: InFlightRequest) -> None:
        # With these timeouts the decision module may be able to say that the request may be repeated.
        if not in_flight.is_finished:
            self._expire_check(in_flight)
        if not in_flight.is_finished:
            self._expire_attempts(in_flight)
        if not in_flight.is_finished:
            self._expire_timers()
        if not in_flight.is_finished:
            log.warning("request %s: no decision before its deadline", in_flight.request_id)
            self._abort(in_flight)

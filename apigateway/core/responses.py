"""Send the one final response of each accepted request."""

from __future__ import annotations

import logging
import time
from typing import Any, Literal, cast, overload

from apigateway import messages
from apigateway.core.context import CoreContext
from apigateway.core.deadlines import RESPONSE_MARGIN_S
from apigateway.core.event_dispatcher import EventDispatcher
from apigateway.core.in_flight_request import InFlightRequest
from apigateway.core.in_flight_table import InFlightTable
from apigateway.core.interfaces import QuotaCheckSink, RequestPlugins, ResponseSink
from apigateway.core.outcomes import RequestOutcome
from apigateway.messages import AttemptResult

# Events that belong to a request which may be in flight.
_REQUEST_EVENTS = (messages.Request, messages.RejectedByPlugin, messages.AttemptOutcome)

# At most MAX_LATE_LINES lines are logged in this time on responses that are late.
LATE_LOG_INTERVAL_S = 1.0
MAX_LATE_LINES = 5

log = logging.getLogger(__name__)


class ResponseSender:
    """Sends responses through `ResponseSink`; no other class calls one."""

    def __init__(self, context: CoreContext, table: InFlightTable, events: EventDispatcher) -> None:
        self._context = context
        self._table = table
        self._events = events
        self._late_since = -LATE_LOG_INTERVAL_S
        self._late_count = 0  # of responses after their client's timeout, since `_late_since`
        self._logs_times = log.isEnabledFor(logging.DEBUG)  # read once: it is asked for every response

    def reject_unaccepted(self, sink: ResponseSink) -> None:
        """Reject a request that was not accepted, so that there is no capacity to release."""
        sink.reject(0.0)

    @overload
    def finish(
        self, in_flight: InFlightRequest, outcome: Literal[RequestOutcome.COMPLETED], response: bytes
    ) -> None: ...

    @overload
    def finish(
        self, in_flight: InFlightRequest, outcome: Literal[RequestOutcome.REJECTED], response: float
    ) -> None: ...

    @overload
    def finish(
        self,
        in_flight: InFlightRequest,
        outcome: Literal[RequestOutcome.GRANTED],
        response: messages.QuotaGranted,
    ) -> None: ...

    @overload
    def finish(
        self,
        in_flight: InFlightRequest,
        outcome: Literal[RequestOutcome.DENIED],
        response: messages.QuotaDenied,
    ) -> None: ...

    @overload
    def finish(
        self,
        in_flight: InFlightRequest,
        outcome: Literal[RequestOutcome.FAILED, RequestOutcome.DISCONNECTED],
    ) -> None: ...

    def finish(self, in_flight: InFlightRequest, outcome: RequestOutcome, response: Any = None) -> None:
        """Finish a request with its final response; does nothing if the request is already finished.

        Args:
            in_flight: The request.
            outcome: How the request ends.
            response: Argument for the sink, depending on the outcome: the endpoint's value, the seconds until
                the client may retry, or the decision module's result of a quota check.
        """
        if in_flight.is_finished:
            return
        in_flight.is_finished = True
        in_flight.is_client_disconnected = outcome == RequestOutcome.DISCONNECTED
        if in_flight.deadline_timer is not None:
            in_flight.deadline_timer.cancel()
        if in_flight.pending_check is not None:
            self._cancel_external_check(in_flight)
        self._respond(in_flight, outcome, response)
        if self._logs_times:
            self._log_time(in_flight, outcome)
        late_s = time.monotonic() - in_flight.deadline - RESPONSE_MARGIN_S
        if late_s > 0 and outcome != RequestOutcome.DISCONNECTED:
            self._log_late(in_flight, outcome, late_s)
        if in_flight.active_attempts:
            self._abandon_unwritten_attempts(in_flight)
        if in_flight.plugins is not None:
            self._notify_plugins(in_flight, in_flight.plugins, outcome)
        self._table.release_client(in_flight)
        self._table.release_if_ended(in_flight)

    def abort(self, in_flight: InFlightRequest) -> None:
        """Fail a request without asking the decision module, which is notified afterwards."""
        self.finish(in_flight, RequestOutcome.FAILED)
        for attempt in list(in_flight.active_attempts.values()):
            self._context.upstream.abandon(attempt, AttemptResult.CANCELLED)
        self._events.dispatch(messages.ClientDisconnected(in_flight.request_id))

    def abort_request_of(self, event: messages.Event) -> None:
        """Abort the request that an event belongs to, if any."""
        if isinstance(event, _REQUEST_EVENTS):
            in_flight = self._table.requests.get(event.request_id)
            if in_flight is not None:
                self.abort(in_flight)

    def _respond(self, in_flight: InFlightRequest, outcome: RequestOutcome, response: Any) -> None:
        sink = in_flight.sink
        try:
            match outcome:
                case RequestOutcome.COMPLETED:
                    sink.complete(response)
                case RequestOutcome.REJECTED:
                    sink.reject(response)
                case RequestOutcome.FAILED:
                    sink.fail()
                case RequestOutcome.GRANTED:
                    cast(QuotaCheckSink, sink).grant(response)
                case RequestOutcome.DENIED:
                    cast(QuotaCheckSink, sink).deny(response)
                case RequestOutcome.DISCONNECTED:
                    pass  # the client is gone
        except Exception:  # the request's capacity must be released even if the frontend raises
            log.exception("request %s: the frontend failed to send the response", in_flight.request_id)

    def _log_late(self, in_flight: InFlightRequest, outcome: RequestOutcome, late_s: float) -> None:
        """Log a response that comes after its client's timeout, a few lines a second at most."""
        now = time.monotonic()
        if now - self._late_since >= LATE_LOG_INTERVAL_S:
            self._late_since = now
            self._late_count = 0
        self._late_count += 1
        if self._late_count <= MAX_LATE_LINES:
            log.warning(
                "request %s: %s %.3f s after its client's timeout, attempts: %d",
                in_flight.request_id,
                outcome.name,
                late_s,
                in_flight.attempt_count,
            )

    def _log_time(self, in_flight: InFlightRequest, outcome: RequestOutcome) -> None:
        """Log how long before its client's timeout a response was written."""
        left_s = in_flight.deadline + RESPONSE_MARGIN_S - time.monotonic()
        log.debug("request %s: %s written, %.4f s left", in_flight.request_id, outcome.name, left_s)

    def _cancel_external_check(self, in_flight: InFlightRequest) -> None:
        limiter = self._context.external_ratelimit
        if limiter is not None:
            limiter.cancel(in_flight.pending_check)
            in_flight.pending_check = None

    def _abandon_unwritten_attempts(self, in_flight: InFlightRequest) -> None:
        """Cancel the attempts that are not completely written; the others end normally."""
        for attempt in list(in_flight.active_attempts.values()):
            if not attempt.is_written:
                self._context.upstream.abandon(attempt, AttemptResult.CANCELLED)

    def _notify_plugins(
        self, in_flight: InFlightRequest, plugins: RequestPlugins, outcome: RequestOutcome
    ) -> None:
        try:
            plugins.on_end(outcome)
        except Exception:
            log.exception(
                "request %s: a plug-in failed to handle the end of the request", in_flight.request_id
            )

"""Send the attempts that the decision module asks for, and report their outcomes to it."""

from __future__ import annotations

import logging
import time
from functools import partial

from apigateway import messages
from apigateway.core.context import CoreContext
from apigateway.core.event_dispatcher import EventDispatcher
from apigateway.core.in_flight_request import InFlightRequest
from apigateway.core.in_flight_table import InFlightTable
from apigateway.core.interfaces import RequestPlugins, UpstreamAttempt
from apigateway.core.outcomes import RequestOutcome
from apigateway.core.responses import ResponseSender
from apigateway.messages import AttemptResult

# The request of an attempt, and the attempt's number within that request.
AttemptTag = tuple[InFlightRequest, int]

# Module constants, because every attempt is compared with them and enum member lookup is slow.
_OK = AttemptResult.OK
_CONNECT_FAILED = AttemptResult.CONNECT_FAILED
# Results that tell that the endpoint has not run the request.
_NOT_RUN = (AttemptResult.CONNECT_FAILED, AttemptResult.REJECTED, AttemptResult.ABANDONED)

log = logging.getLogger(__name__)


class AttemptHandler:
    """Handles the actions `ForwardRequest` and `CancelAttempt`.

    Reports exactly one `AttemptOutcome` for each attempt that the decision module asks for, even if the
    attempt is not sent. Without an outcome the decision module would count it as in flight forever.
    """

    def __init__(
        self,
        context: CoreContext,
        table: InFlightTable,
        events: EventDispatcher,
        responses: ResponseSender,
    ) -> None:
        self._context = context
        self._table = table
        self._events = events
        self._responses = responses
        self._logs_attempts = log.isEnabledFor(logging.DEBUG)  # read once: it is asked for every attempt

    def forward(self, action: messages.ForwardRequest) -> None:
        """Send one attempt, or report it as abandoned if it may not be sent."""
        in_flight = self._table.requests.get(action.request_id)
        if in_flight is None:
            return
        number = in_flight.attempt_count
        in_flight.attempt_count += 1
        remaining = in_flight.deadline - time.monotonic()
        can_send = (
            remaining > 0 and self._is_allowed(in_flight, number) and in_flight.sink.is_client_connected()
        )
        if can_send and in_flight.plugins is not None:
            self._notify_plugins(in_flight, in_flight.plugins, action.endpoint_id)
            remaining = in_flight.deadline - time.monotonic()
        if can_send and remaining > 0:
            timeout = min(remaining, action.timeout) if action.timeout > 0 else remaining
            self._send(in_flight, number, action.endpoint_id, timeout)
        else:
            self._report_abandoned(in_flight, number, action.endpoint_id)

    def cancel(self, action: messages.CancelAttempt) -> None:
        """Cancel one attempt of a request."""
        in_flight = self._table.requests.get(action.request_id)
        if in_flight is not None and action.attempt in in_flight.active_attempts:
            attempt = in_flight.active_attempts[action.attempt]
            self._context.upstream.abandon(attempt, AttemptResult.CANCELLED)

    def expire(self, in_flight: InFlightRequest) -> None:
        """End the attempts of a request whose deadline has passed.

        Their own timeouts have passed too, but may wait for the sockets to be polled.
        """
        for attempt in list(in_flight.active_attempts.values()):
            self._context.upstream.abandon(attempt, AttemptResult.TIMEOUT)

    def _is_allowed(self, in_flight: InFlightRequest, number: int) -> bool:
        limits = self._context.settings.limits
        if in_flight.is_finished:  # the request finished before this action was handled
            return False
        if self._context.is_drained:  # the request is about to be failed
            return False
        if number >= limits.max_attempts:
            return False
        return not in_flight.active_attempts or limits.can_hedge

    def _notify_plugins(self, in_flight: InFlightRequest, plugins: RequestPlugins, endpoint_id: str) -> None:
        try:
            plugins.on_attempt(endpoint_id)
        except Exception:
            log.exception("request %s: a plug-in failed to handle an attempt", in_flight.request_id)

    def _send(self, in_flight: InFlightRequest, number: int, endpoint_id: str, timeout: float) -> None:
        upstream = self._context.upstream
        tag: AttemptTag = (in_flight, number)
        try:
            payload = in_flight.upstream_request.encode(timeout)
            attempt = upstream.create_attempt(endpoint_id, payload, self._on_ended, tag)
            attempt.encode = partial(self._encode_again, in_flight)
        except Exception:
            log.exception("request %s: failed to encode an attempt", in_flight.request_id)
            self._report_abandoned(in_flight, number, endpoint_id)
            return
        in_flight.active_attempts[number] = attempt
        if self._logs_attempts:
            log.debug("request %s: attempt %d at %s", in_flight.request_id, number, endpoint_id)
        upstream.send(attempt, timeout)

    def _encode_again(self, in_flight: InFlightRequest, timeout: float) -> bytes | None:
        """Return the message of an attempt that waited for its connection; None if its client has left."""
        if not in_flight.sink.is_client_connected():
            return None
        return in_flight.upstream_request.encode(timeout)

    def _report_abandoned(self, in_flight: InFlightRequest, number: int, endpoint_id: str) -> None:
        self._events.dispatch(
            messages.AttemptOutcome(
                in_flight.request_id, number, endpoint_id, AttemptResult.ABANDONED, 0.0, in_flight.is_finished
            )
        )

    def _on_ended(self, attempt: UpstreamAttempt) -> None:
        tag: AttemptTag = attempt.tag
        in_flight, number = tag
        result = attempt.result
        del in_flight.active_attempts[number]
        if self._logs_attempts:
            log.debug("request %s: attempt %d ended: %s", in_flight.request_id, number, result)
        if in_flight.is_write and result not in _NOT_RUN:
            in_flight.may_have_run = True
        if in_flight.is_finished:
            if result == _CONNECT_FAILED:
                result = AttemptResult.ABANDONED  # not sent, so no information on the endpoint
            self._table.release_if_ended(in_flight)
        elif result == _OK:
            self._responses.finish(in_flight, RequestOutcome.COMPLETED, attempt.value)
        self._events.dispatch(
            messages.AttemptOutcome(
                in_flight.request_id,
                number,
                attempt.endpoint_id,
                result,
                attempt.elapsed(),
                in_flight.is_finished,
                metered_use=attempt.metered_use,
                load_report=attempt.load_report,
            )
        )

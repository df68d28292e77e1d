"""Give each accepted request its one final answer."""

from __future__ import annotations

import logging
from typing import Any, Literal, cast, overload

from apigateway import messages
from apigateway.core.context import CoreContext
from apigateway.core.event_dispatcher import EventDispatcher
from apigateway.core.in_flight_request import InFlightRequest
from apigateway.core.in_flight_table import InFlightTable
from apigateway.core.interfaces import QuotaCheckSink, RequestPlugins, ResponseSink
from apigateway.core.outcomes import RequestOutcome
from apigateway.messages import AttemptResult

# Events of a request that the decision module may still be asked about.
_REQUEST_EVENTS = (messages.Request, messages.RejectedByPlugin, messages.AttemptOutcome)

log = logging.getLogger(__name__)


class ResponseSender:
    """The only place that calls a `ResponseSink`."""

    def __init__(self, context: CoreContext, table: InFlightTable, events: EventDispatcher) -> None:
        self._context = context
        self._table = table
        self._events = events

    def reject_without_capacity(self, sink: ResponseSink) -> None:
        """Answer a request that was not accepted: there is no capacity for it, and nothing to release."""
        sink.reject(0.0)

    @overload
    def finish(
        self, in_flight: InFlightRequest, outcome: Literal[RequestOutcome.COMPLETED], answer: bytes
    ) -> None: ...

    @overload
    def finish(
        self, in_flight: InFlightRequest, outcome: Literal[RequestOutcome.REJECTED], answer: float
    ) -> None: ...

    @overload
    def finish(
        self,
        in_flight: InFlightRequest,
        outcome: Literal[RequestOutcome.GRANTED],
        answer: messages.QuotaGranted,
    ) -> None: ...

    @overload
    def finish(
        self,
        in_flight: InFlightRequest,
        outcome: Literal[RequestOutcome.DENIED],
        answer: messages.QuotaDenied,
    ) -> None: ...

    @overload
    def finish(
        self,
        in_flight: InFlightRequest,
        outcome: Literal[RequestOutcome.FAILED, RequestOutcome.DISCONNECTED],
    ) -> None: ...

    def finish(self, in_flight: InFlightRequest, outcome: RequestOutcome, answer: Any = None) -> None:
        """Give a request its final answer; one that is finished stays as it is.

        Args:
            in_flight: The request.
            outcome: How it ends.
            answer: What its sink is given, by outcome: the endpoint's value, the seconds until the client may
                retry, or the decision module's answer to a quota check.
        """
        if in_flight.is_finished:
            return
        in_flight.is_finished = True
        if in_flight.deadline_timer is not None:
            in_flight.deadline_timer.cancel()
        if in_flight.pending_check is not None:
            self._cancel_external_check(in_flight)
        self._respond(in_flight, outcome, answer)
        if in_flight.active_attempts:
            self._abandon_unwritten_attempts(in_flight)
        if in_flight.plugins is not None:
            self._notify_plugins(in_flight, in_flight.plugins, outcome)
        self._table.release_if_ended(in_flight)

    def abort(self, in_flight: InFlightRequest) -> None:
        """Fail a request without the decision module, and let that forget it."""
        self.finish(in_flight, RequestOutcome.FAILED)
        for attempt in list(in_flight.active_attempts.values()):
            self._context.upstream.abandon(attempt, AttemptResult.CANCELLED)
        self._events.dispatch(messages.ClientDisconnected(in_flight.request_id))

    def abort_request_of(self, event: messages.Event) -> None:
        """Abort the request that an event is about, if it is about one."""
        if isinstance(event, _REQUEST_EVENTS):
            in_flight = self._table.requests.get(event.request_id)
            if in_flight is not None:
                self.abort(in_flight)

    def _respond(self, in_flight: InFlightRequest, outcome: RequestOutcome, answer: Any) -> None:
        sink = in_flight.sink
        try:
            match outcome:
                case RequestOutcome.COMPLETED:
                    sink.complete(answer)
                case RequestOutcome.REJECTED:
                    sink.reject(answer)
                case RequestOutcome.FAILED:
                    sink.fail()
                case RequestOutcome.GRANTED:
                    cast(QuotaCheckSink, sink).grant(answer)
                case RequestOutcome.DENIED:
                    cast(QuotaCheckSink, sink).deny(answer)
                case RequestOutcome.DISCONNECTED:
                    pass  # there is no client to answer
        except Exception:  # a frontend that raises must not keep the request's capacity from being released
            log.exception("request %s: its front could not answer", in_flight.request_id)

    def _cancel_external_check(self, in_flight: InFlightRequest) -> None:
        limiter = self._context.external_ratelimit
        if limiter is not None:
            limiter.cancel(in_flight.pending_check)
            in_flight.pending_check = None

    def _abandon_unwritten_attempts(self, in_flight: InFlightRequest) -> None:
        """Send nothing more after the final answer; what is written may still end as it would."""
        for attempt in list(in_flight.active_attempts.values()):
            if not attempt.is_written:
                self._context.upstream.abandon(attempt, AttemptResult.CANCELLED)

    def _notify_plugins(
        self, in_flight: InFlightRequest, plugins: RequestPlugins, outcome: RequestOutcome
    ) -> None:
        try:
            plugins.on_end(outcome)
        except Exception:
            log.exception("request %s: plug-ins", in_flight.request_id)

"""Take requests from the frontends and see each through to its one final answer.

Nothing here decides and nothing here knows a socket: the collaborators are `interfaces.py`. The parts of a
request's life are modules of their own, put together by `RequestDispatcher`. Every event and action of
`messages.py` has its place in one of them, but for StreamStarted and PeerMessage: no frontend knows streams
or peers.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from apigateway import messages
from apigateway.core.attempts import AttemptHandler
from apigateway.core.context import CoreContext
from apigateway.core.deadlines import MAX_REQUEST_TIMEOUT_S, RESPONSE_MARGIN_S, DeadlineGuard
from apigateway.core.endpoint_updates import EndpointUpdates
from apigateway.core.event_dispatcher import ActionHandler, EventDispatcher
from apigateway.core.gateway_actions import GatewayActions
from apigateway.core.in_flight_request import NO_UPSTREAM_REQUEST, InFlightRequest
from apigateway.core.in_flight_table import DuplicateRequestError, InFlightTable
from apigateway.core.interfaces import (
    Addresses,
    DecisionModule,
    QuotaCheckSink,
    QuotaCounter,
    ResponseSink,
    Scheduler,
    UpstreamPool,
    UpstreamRequest,
)
from apigateway.core.outcomes import RequestOutcome
from apigateway.core.request_filters import RequestFilters
from apigateway.core.response_actions import ResponseActions
from apigateway.core.responses import ResponseSender

__all__ = ["MAX_REQUEST_TIMEOUT_S", "RESPONSE_MARGIN_S", "DuplicateRequestError", "RequestDispatcher"]


class RequestDispatcher(CoreContext):
    """The core as the frontends and the daemon see it.

    The daemon may replace the collaborators that `CoreContext` names, at any time.

    Args:
        settings: The deployment's.
        module: The decision module.
        upstream: Connections to the endpoints.
        counter: The quota counter; None where the deployment has none.
        loop: The event loop's timers.
        max_in_flight: Requests that may be in flight at once, over all frontends together.
        max_body_bytes: Bytes of their bodies that may be held at once, likewise.
        clock: Unix time in seconds that never steps.
    """

    def __init__(
        self,
        settings: messages.Settings,
        module: DecisionModule,
        upstream: UpstreamPool,
        counter: QuotaCounter | None,
        loop: Scheduler,
        max_in_flight: int,
        max_body_bytes: float,
        clock: Callable[[], float] | None = None,
    ) -> None:
        super().__init__(settings, module, upstream, counter, loop, clock)
        self.in_flight_table = InFlightTable(self, max_in_flight, max_body_bytes)
        self.in_flight = self.in_flight_table.requests
        self.request_budget = self.in_flight_table.request_budget
        self.body_budget = self.in_flight_table.body_budget

        self.events = EventDispatcher(self)
        self.responses = ResponseSender(self, self.in_flight_table, self.events)
        self.deadline_guard = DeadlineGuard(loop, self.responses.abort)
        self.request_filters = RequestFilters(self, self.events)
        self.attempts = AttemptHandler(self, self.in_flight_table, self.events, self.responses)
        self.response_actions = ResponseActions(self, self.in_flight_table, self.responses)
        self.gateway_actions = GatewayActions(self, self.events)
        self.endpoint_updates = EndpointUpdates(self, self.events)
        self.events.register(self._action_handlers(), self.responses.abort_request_of)

    def _action_handlers(self) -> Mapping[type, ActionHandler]:
        return {
            messages.ForwardRequest: self.attempts.forward,
            messages.CancelAttempt: self.attempts.cancel,
            messages.Reject: self.response_actions.reject,
            messages.Fail: self.response_actions.fail,
            messages.QuotaGranted: self.response_actions.grant_quota,
            messages.QuotaDenied: self.response_actions.deny_quota,
            messages.AddToCounter: self.gateway_actions.add_to_counter,
            messages.SetTimer: self.gateway_actions.set_timer,
            messages.CheckHealth: self.gateway_actions.check_health,
            messages.CloseIdleConnections: self.gateway_actions.close_idle_connections,
            messages.FetchEndpoints: self.gateway_actions.fetch_endpoints,
            messages.WatchEndpoints: self.gateway_actions.watch_endpoints,
            messages.LogMessage: self.gateway_actions.log_message,
        }

    # For the frontends

    def register_frontend(self, frontend: object) -> None:
        """Give a frontend capacity of its own, which a flood on another one cannot take."""
        self.in_flight_table.register_frontend(frontend)

    def unregister_frontend(self, frontend: object) -> None:
        """Give a frontend's capacity to the others; what it has in flight still ends as it would."""
        self.in_flight_table.unregister_frontend(frontend)

    def submit(
        self,
        frontend: object,
        request: messages.Request,
        upstream_request: UpstreamRequest,
        sink: ResponseSink,
    ) -> None:
        """Accept a request: from here on `sink` gets exactly one answer, at once where there is no capacity.

        `request.remaining` is how long its client waits, in seconds, less RESPONSE_MARGIN_S.

        Raises:
            DuplicateRequestError: Its id is in flight; then nothing was accepted.
        """
        table = self.in_flight_table
        if request.request_id in self.in_flight:
            raise DuplicateRequestError
        registry_place = table.reserve(frontend, request)
        if registry_place is None:
            self.responses.reject_without_capacity(sink)
            return
        in_flight = table.add(frontend, request, upstream_request, sink, registry_place)
        has_filters = self.plugins is not None or self.external_ratelimit is not None
        if has_filters and upstream_request is not NO_UPSTREAM_REQUEST:
            self.request_filters.apply(in_flight, request)
        else:
            self.events.dispatch(request)
        if not in_flight.is_finished:  # many are rejected at once, and need no timer
            self.deadline_guard.start(in_flight)

    def submit_check(self, frontend: object, check: messages.QuotaCheck, sink: QuotaCheckSink) -> None:
        """Accept a quota check, as `submit`, for units that no endpoint is asked for.

        Neither plug-ins nor the external rate limiter are asked about it.
        """
        self.submit(frontend, check, NO_UPSTREAM_REQUEST, sink)

    def return_quota(self, check: messages.QuotaCheck, granted: messages.QuotaGranted) -> None:
        """Return what a check was granted and did not use: another of the same question was denied."""
        is_reservation = isinstance(check, messages.QuotaReservation)
        return_event = messages.ReturnReservation if is_reservation else messages.ReturnUnits
        self.events.dispatch(return_event(check.customer, check.units, granted.window_index))

    def is_in_flight(self, request_id: str, is_write: bool) -> bool:
        """Tell whether this id may be running, so that a rejection, which says it did not, would be false."""
        return self.in_flight_table.is_in_flight(request_id, is_write)

    def on_client_disconnected(self, sink: ResponseSink) -> None:
        """Send nothing more for a request whose client went away, and answer nobody."""
        in_flight: InFlightRequest | None = sink.token
        if in_flight is not None and not in_flight.is_finished:
            self.responses.finish(in_flight, RequestOutcome.DISCONNECTED)
            self.events.dispatch(messages.ClientDisconnected(in_flight.request_id))

    # For the daemon and the endpoint source

    def dispatch(self, event: messages.Event) -> None:
        """Hand an event to the decision module, and carry out its actions."""
        self.events.dispatch(event)

    def on_endpoint_list(self, endpoint_list: messages.EndpointList, addresses: Addresses) -> None:
        """Apply a new endpoint list, with the addresses of its endpoints."""
        self.endpoint_updates.on_list(endpoint_list, addresses)

    def on_endpoint_list_failed(self) -> None:
        """Report to the decision module that an endpoint list could not be had."""
        self.endpoint_updates.on_list_failed()

    async def drain(self, seconds: float) -> None:
        """Wait until all accepted requests are answered, and fail what is not within `seconds`."""
        if not await self.in_flight_table.wait_until_drained(seconds):
            for in_flight in list(self.in_flight.values()):
                self.responses.abort(in_flight)

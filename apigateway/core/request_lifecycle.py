"""Accept requests from the frontends and process each until its one final response.

The core makes no decisions and uses no sockets; `interfaces.py` defines its collaborators. Each part of the
life cycle is a module of its own, and `RequestDispatcher` connects them. Together they handle every event and
action of `messages.py` except StreamStarted and PeerMessage, because no frontend supports streams or peers.
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
    """The core's interface for the frontends and the daemon.

    The daemon may replace the collaborators in `CoreContext` at any time.

    Args:
        settings: Settings of the deployment.
        module: The decision module.
        upstream: Connections to the endpoints.
        counter: Client of the quota counter; None if the deployment has none.
        loop: Timers of the event loop.
        max_in_flight: Maximum number of requests in flight, over all frontends.
        max_client_bytes: Maximum memory that clients use, over all frontends.
        clock: Unix time in seconds that never jumps; by default a `MonotonicUnixClock`.
    """

    def __init__(
        self,
        settings: messages.Settings,
        module: DecisionModule,
        upstream: UpstreamPool,
        counter: QuotaCounter | None,
        loop: Scheduler,
        max_in_flight: int,
        max_client_bytes: float,
        clock: Callable[[], float] | None = None,
    ) -> None:
        super().__init__(settings, module, upstream, counter, loop, clock)
        self.in_flight_table = InFlightTable(self, max_in_flight, max_client_bytes)
        self.in_flight = self.in_flight_table.requests
        self.request_budget = self.in_flight_table.request_budget
        self.memory_budget = self.in_flight_table.memory_budget

        self.events = EventDispatcher(self)
        self.responses = ResponseSender(self, self.in_flight_table, self.events)
        self.request_filters = RequestFilters(self, self.events)
        self.attempts = AttemptHandler(self, self.in_flight_table, self.events, self.responses)
        self.response_actions = ResponseActions(self, self.in_flight_table, self.responses)
        self.gateway_actions = GatewayActions(self, self.events)
        self.deadline_guard = DeadlineGuard(
            loop,
            self.responses.abort,
            self.request_filters.expire,
            self.attempts.expire,
            self.gateway_actions.dispatch_expired_timers,
        )
        self.endpoint_updates = EndpointUpdates(self, self.events)
        self.events.register(
            self._action_handlers(), self.responses.abort_request_of, self.in_flight_table.customer_of
        )

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

    # Called by the frontends

    def register_frontend(self, frontend: object) -> None:
        """Reserve capacity for a frontend that a flood on another frontend cannot use."""
        self.in_flight_table.register_frontend(frontend)

    def unregister_frontend(self, frontend: object) -> None:
        """Return a frontend's capacity to the others; its requests in flight end normally."""
        self.in_flight_table.unregister_frontend(frontend)

    def submit(
        self,
        frontend: object,
        request: messages.Request,
        upstream_request: UpstreamRequest,
        sink: ResponseSink,
    ) -> None:
        """Accept a request; `sink` then gets exactly one response.

        It is rejected immediately if there is no capacity, or only the requests in flight are completed.

        `request.remaining` is the client's timeout in seconds, less RESPONSE_MARGIN_S.

        Raises:
            DuplicateRequestError: A request with this id is in flight, or a write that may have run. This one
                is not accepted.
        """
        table = self.in_flight_table
        if request.request_id in self.in_flight:
            self._give_up_if_disconnected(self.in_flight[request.request_id])
        if table.is_in_flight_here(request.request_id, request.is_write):
            raise DuplicateRequestError
        registry_slot = table.reserve(frontend, request)
        if registry_slot is None:
            self.responses.reject_unaccepted(sink)
            return
        in_flight = table.add(frontend, request, upstream_request, sink, registry_slot)
        has_filters = self.plugins is not None or self.external_ratelimit is not None
        if has_filters and upstream_request is not NO_UPSTREAM_REQUEST:
            self.request_filters.apply(in_flight, request)
        else:
            self.events.dispatch(request)
        if not in_flight.is_finished:  # many requests are rejected immediately and need no timer
            self.deadline_guard.start(in_flight)

    def submit_check(self, frontend: object, check: messages.QuotaCheck, sink: QuotaCheckSink) -> None:
        """Accept a quota check, like `submit`; it is not sent to an endpoint.

        Neither the plug-ins nor the external rate limiter handle it.
        """
        self.submit(frontend, check, NO_UPSTREAM_REQUEST, sink)

    def return_quota(self, check: messages.QuotaCheck, granted: messages.QuotaGranted) -> None:
        """Return units that a check was granted, because another check of the same call was denied."""
        is_reservation = isinstance(check, messages.QuotaReservation)
        event_class = messages.ReturnReservation if is_reservation else messages.ReturnUnits
        # A custom limit has a customer of its own, and no plan of this name.
        plan = "" if isinstance(check, messages.CustomLimitCheck) else check.plan
        self.events.dispatch(event_class(check.customer, check.units, granted.window_index, plan))

    def is_in_flight(self, request_id: str, is_write: bool) -> bool:
        """Return whether a request with this id may be running.

        If so, it must not be rejected, because a rejection states that the request has not run.
        """
        return self.in_flight_table.is_in_flight(request_id, is_write)

    def _give_up_if_disconnected(self, in_flight: InFlightRequest) -> None:
        """Finish a request whose client has disconnected, if that has not been read from its connection yet.

        A client may send a request again on a new connection before the end of the old one is read.
        """
        if not in_flight.is_finished and not in_flight.sink.is_client_connected():
            self.on_client_disconnected(in_flight.sink)

    def on_client_disconnected(self, sink: ResponseSink) -> None:
        """Finish the request of a client that disconnected, without a response."""
        in_flight: InFlightRequest | None = sink.token
        if in_flight is not None and not in_flight.is_finished:
            self.responses.finish(in_flight, RequestOutcome.DISCONNECTED)
            self.events.dispatch(messages.ClientDisconnected(in_flight.request_id))

    # Called by the daemon and the endpoint source

    def dispatch(self, event: messages.Event) -> None:
        """Pass an event to the decision module and carry out the resulting actions."""
        self.events.dispatch(event)

    def on_endpoint_list(self, endpoint_list: messages.EndpointList, addresses: Addresses) -> None:
        """Apply a new endpoint list and the addresses of its endpoints."""
        self.endpoint_updates.on_list(endpoint_list, addresses)

    def on_endpoint_list_failed(self) -> None:
        """Notify the decision module that an endpoint list could not be fetched."""
        self.endpoint_updates.on_list_failed()

    async def wait_until_drained(self, seconds: float) -> bool:
        """Wait up to `seconds` until no request is in flight; return whether that is the case."""
        return await self.in_flight_table.wait_until_drained(seconds)

    async def drain(self, seconds: float) -> None:
        """Reject new requests, wait up to `seconds` for those in flight, and fail the rest.

        New requests are rejected because nobody would wait for their responses.
        """
        self.accepts_requests = False
        await self.wait_until_drained(seconds)
        self.is_drained = True
        for in_flight in list(self.in_flight.values()):
            self.responses.abort(in_flight)

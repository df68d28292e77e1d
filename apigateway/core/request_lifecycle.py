"""Dispatch events to the decision module and carry out the actions that it returns.

Nothing here decides and nothing here knows a socket: the collaborators are `interfaces.py`. This module owns
each request's deadline and its single final answer. Every event and action of `messages.py` has its place
here, but for StreamStarted and Message: no frontend knows streams or peers.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any, cast

from apigateway import messages
from apigateway.core.budget import Budget
from apigateway.core.clock import MonotonicUnixClock
from apigateway.core.gateway_actions import GatewayActions
from apigateway.core.in_flight_request import NO_UPSTREAM_REQUEST, InFlightRequest
from apigateway.core.interfaces import (
    HELD_ELSEWHERE,
    NOT_REGISTERED,
    REGISTRY_FULL,
    Addresses,
    DecisionModule,
    EndpointSource,
    ExternalRateLimiter,
    InFlightRegistry,
    PluginChain,
    QuotaCheckSink,
    QuotaCounter,
    RequestOutcome,
    ResponseSink,
    Scheduler,
    UpstreamAttempt,
    UpstreamPool,
    UpstreamRequest,
)

if TYPE_CHECKING:
    from apigateway.core.admission import AdmissionController

# Seconds before the client gives up by which the decision module is to be done: the answer's way back.
RESPONSE_MARGIN_S = 0.03
# Seconds before the client gives up at which a request without an answer is failed, whatever the decision
# module does.
DEADLINE_GUARD_MARGIN_S = 0.01
# Seconds; a client that says it will wait for longer is in error.
MAX_REQUEST_TIMEOUT_S = 3600.0

log = logging.getLogger(__name__)


class DuplicateRequestError(Exception):
    """A request with this id is in flight, by this frontend or another."""


class RequestDispatcher:
    """Take requests from the frontends and see each through to its one final answer.

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
        self.settings = settings
        self.module = module
        self.upstream = upstream
        self.counter = counter
        self.loop = loop
        self.clock = clock or MonotonicUnixClock()

        # Set by the daemon where settings want them.
        self.membership: EndpointSource | None = None
        self.plugins: PluginChain | None = None
        self.in_flight_registry: InFlightRegistry | None = None
        self.admission: AdmissionController | None = None
        self.external_ratelimit: ExternalRateLimiter | None = None

        self.request_budget = Budget(max_in_flight)
        self.body_budget = Budget(max_body_bytes)
        self.in_flight: dict[str, InFlightRequest] = {}  # by request id
        self.is_ready = False  # there are endpoints, or were
        self.is_draining = False
        self._drained = asyncio.Event()  # draining, and nothing is in flight
        self._events: deque[messages.Event] = deque()
        self._is_dispatching = False
        self.gateway_actions = GatewayActions(self)
        self.action_handlers = self._action_handlers()

    def _action_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            messages.ForwardRequest: self._forward,
            messages.Reject: self._reject,
            messages.Fail: self._fail,
            messages.CancelAttempt: self.cancel_attempt,
            messages.QuotaGranted: self.grant_quota,
            messages.QuotaDenied: self._deny_quota,
            messages.AddToCounter: self.gateway_actions.add_to_counter,
            messages.SetTimer: self.gateway_actions.set_timer,
            messages.CheckHealth: self.gateway_actions.check_health,
            messages.CloseIdleConnections: self.gateway_actions.close_idle_connections,
            messages.FetchEndpoints: self.gateway_actions.fetch_endpoints,
            messages.WatchEndpoints: self.gateway_actions.watch_endpoints,
            messages.LogMessage: self.gateway_actions.log_message,
        }

    # Frontends

    def register_frontend(self, frontend: object) -> None:
        """Give a frontend capacity of its own, which a flood on another one cannot take."""
        self.request_budget.join(frontend)
        self.body_budget.join(frontend)

    def unregister_frontend(self, frontend: object) -> None:
        """Give a frontend's capacity to the others; what it has in flight still ends as it would."""
        self.request_budget.leave(frontend)
        self.body_budget.leave(frontend)

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
        if request.request_id in self.in_flight:
            raise DuplicateRequestError
        registry_place = self._reserve(frontend, request)
        if registry_place == REGISTRY_FULL:
            sink.reject(0.0)
            return
        in_flight = self._admit(frontend, request, upstream_request, sink, registry_place)
        if upstream_request is NO_UPSTREAM_REQUEST:
            self.dispatch(request)
        else:
            self._consult_and_dispatch(in_flight, request)
        if not in_flight.is_finished:  # many are rejected at once, and need no timer
            self._start_deadline_timer(in_flight)

    def submit_check(self, frontend: object, check: messages.QuotaCheck, sink: QuotaCheckSink) -> None:
        """Accept a quota check, as `submit`, for units that no endpoint is asked for.

        Neither plug-ins nor the external rate limiter are asked about it.
        """
        self.submit(frontend, check, NO_UPSTREAM_REQUEST, sink)

    def return_quota(self, check: messages.QuotaCheck, granted: messages.QuotaGranted) -> None:
        """Return what a check was granted and did not use: another of the same question was denied."""
        kind = (
            messages.ReturnReservation
            if isinstance(check, messages.QuotaReservation)
            else messages.ReturnUnits
        )
        self.dispatch(kind(check.customer, check.units, granted.window_index))

    def is_in_flight(self, request_id: str, is_write: bool) -> bool:
        """Tell whether this id may be running, so that a rejection, which says it did not, would be false."""
        if request_id in self.in_flight:
            return True
        registry = self.in_flight_registry
        return is_write and registry is not None and registry.is_held(request_id)

    def on_client_disconnected(self, sink: ResponseSink) -> None:
        """Send nothing more for a request whose client went away, and answer nobody."""
        in_flight: InFlightRequest | None = sink.token
        if in_flight is not None and not in_flight.is_finished:
            self.finish(in_flight, RequestOutcome.GONE)
            self.dispatch(messages.ClientDisconnected(in_flight.request_id))

    # Admission of one request

    def _reserve(self, frontend: object, request: messages.Request) -> int:
        """Return the request's place in the registry, NOT_REGISTERED, or REGISTRY_FULL for no capacity."""
        has_capacity = (
            self.request_budget.available_to(frontend) > 0 and self.body_budget.available_to(frontend) >= 0
        )
        registry = self.in_flight_registry
        if registry is None or not request.is_write:
            return NOT_REGISTERED if has_capacity else REGISTRY_FULL
        if not has_capacity:
            # A rejection says that the write has not run, which is not known of one held elsewhere.
            if registry.is_held(request.request_id):
                raise DuplicateRequestError
            return REGISTRY_FULL
        place = registry.acquire(request.request_id, request.remaining + RESPONSE_MARGIN_S)
        if place == HELD_ELSEWHERE:
            raise DuplicateRequestError
        return place

    def _admit(
        self,
        frontend: object,
        request: messages.Request,
        upstream_request: UpstreamRequest,
        sink: ResponseSink,
        registry_place: int,
    ) -> InFlightRequest:
        deadline = time.monotonic() + request.remaining
        in_flight = InFlightRequest(request.request_id, sink, upstream_request, frontend, deadline)
        in_flight.registry_place = registry_place
        in_flight.customer = request.customer
        sink.token = in_flight
        self.in_flight[request.request_id] = in_flight
        self.request_budget.acquire(frontend, 1)
        self.body_budget.acquire(frontend, upstream_request.body_size)
        return in_flight

    def _consult_and_dispatch(self, in_flight: InFlightRequest, request: messages.Request) -> None:
        """Let plug-ins and the external rate limiter have their say before the decision module does."""
        event: messages.Request | messages.RejectedByPlugin = request
        if self.plugins is not None:
            event = self._apply_plugins(self.plugins, in_flight, request)
        limiter = self.external_ratelimit
        if limiter is not None and isinstance(event, messages.Request) and limiter.applies_to(event):
            self._check_external_ratelimit(limiter, in_flight, event)
        else:
            self.dispatch(event)

    def _apply_plugins(
        self, plugins: PluginChain, in_flight: InFlightRequest, request: messages.Request
    ) -> messages.Request | messages.RejectedByPlugin:
        """Return what the plug-ins make of a request; the request itself where they raise."""
        try:
            in_flight.plugins, event = plugins.on_request(request)
            return event
        except Exception:
            log.exception("request %s: plug-ins", in_flight.request_id)
            return request

    def _check_external_ratelimit(
        self, limiter: ExternalRateLimiter, in_flight: InFlightRequest, request: messages.Request
    ) -> None:
        """Dispatch a request once the external rate limiter has let it pass, or settings have in its place.

        Until then the request holds its capacity, and its deadline timer answers it in time.
        """

        def on_decided(is_allowed: bool, retry_after: float) -> None:
            in_flight.pending_check = None
            if in_flight.is_finished:
                return
            if is_allowed:
                remaining = in_flight.deadline - time.monotonic()
                self.dispatch(replace(request, remaining=remaining))
            else:
                self.dispatch(messages.RejectedByPlugin(in_flight.request_id, retry_after))

        try:
            in_flight.pending_check = limiter.check(request, request.remaining, on_decided)
        except Exception:  # one that raises has said nothing
            log.exception("request %s: the outer service could not be asked", in_flight.request_id)
            if not in_flight.is_finished:
                self.dispatch(request)

    # Deadline

    def _start_deadline_timer(self, in_flight: InFlightRequest) -> None:
        guard_at = in_flight.deadline + RESPONSE_MARGIN_S - DEADLINE_GUARD_MARGIN_S
        delay = max(0.0, guard_at - time.monotonic())
        in_flight.deadline_timer = self.loop.call_later(delay, self.on_deadline, in_flight)

    def on_deadline(self, in_flight: InFlightRequest) -> None:
        """Fail a request that the decision module has not answered in its client's time."""
        if not in_flight.is_finished:
            log.warning("request %s: no decision before its deadline", in_flight.request_id)
            self._abort(in_flight)

    # Events

    def dispatch(self, event: messages.Event) -> None:
        """Hand an event to the decision module; what its actions cause at once waits its turn.

        But the end of a request goes before all that waits, so that nothing is decided for it any more.
        """
        if isinstance(event, messages.ClientDisconnected):
            self._events.appendleft(event)
        else:
            self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._is_dispatching = False

    def _handle_event(self, event: messages.Event) -> None:
        try:
            actions = self.module.handle(self.clock(), event)
        except Exception:  # one request must not take the others along
            log.exception("the module failed on %s", type(event).__name__)
            self._abort_request_of(event)
            return
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:  # nor one action the rest; the deadline timer answers what it was for
                log.exception("%r could not be carried out", action)

    def _abort_request_of(self, event: messages.Event) -> None:
        """Fail the request that an event is about, if it is about one."""
        if isinstance(event, messages.Request | messages.RejectedByPlugin | messages.AttemptOutcome):
            in_flight = self.in_flight.get(event.request_id)
            if in_flight is not None:
                self._abort(in_flight)

    # The final answer

    def finish(self, in_flight: InFlightRequest, outcome: RequestOutcome, answer: Any = None) -> None:
        """Give a request its final answer: the one place where that is done.

        Args:
            in_flight: The request; one that is finished stays as it is.
            outcome: How it ends.
            answer: What the sink is told, by outcome: the value in bytes if SERVED, seconds to wait if
                REFUSED, the action itself if GRANTED or DENIED; else nothing.
        """
        if in_flight.is_finished:
            return
        in_flight.is_finished = True
        if in_flight.deadline_timer is not None:
            in_flight.deadline_timer.cancel()
        if in_flight.pending_check is not None and self.external_ratelimit is not None:
            self.external_ratelimit.cancel(in_flight.pending_check)
            in_flight.pending_check = None
        self._respond(in_flight, outcome, answer)
        for attempt in list(in_flight.active_attempts.values()):
            if not attempt.is_written:  # after the final answer nothing more is sent
                self.upstream.abandon(attempt, "cancelled")
        if in_flight.plugins is not None:
            try:
                in_flight.plugins.on_end(outcome)
            except Exception:
                log.exception("request %s: plug-ins", in_flight.request_id)
        self._release_if_ended(in_flight)

    def _respond(self, in_flight: InFlightRequest, outcome: RequestOutcome, answer: Any) -> None:
        sink = in_flight.sink
        try:
            match outcome:
                case RequestOutcome.SERVED:
                    sink.complete(answer)
                case RequestOutcome.REFUSED:
                    sink.reject(answer)
                case RequestOutcome.FAILED:
                    sink.fail()
                case RequestOutcome.GRANTED:
                    cast(QuotaCheckSink, sink).grant(answer)
                case RequestOutcome.DENIED:
                    cast(QuotaCheckSink, sink).deny(answer)
                case RequestOutcome.GONE:
                    pass  # nobody is there to hear it
        except Exception:  # a frontend that fails must not keep what it gave up from being cleared away
            log.exception("request %s: its front could not answer", in_flight.request_id)

    def _abort(self, in_flight: InFlightRequest) -> None:
        """Fail a request without the decision module, and let that forget it."""
        self.finish(in_flight, RequestOutcome.FAILED)
        for attempt in list(in_flight.active_attempts.values()):
            self.upstream.abandon(attempt, "cancelled")
        self.dispatch(messages.ClientDisconnected(in_flight.request_id))

    def _release_if_ended(self, in_flight: InFlightRequest) -> None:
        """Release a request's capacity once it is finished and its last attempt has ended."""
        if not in_flight.is_finished or in_flight.active_attempts:
            return
        if self.in_flight.pop(in_flight.request_id, None) is None:
            return
        self.request_budget.release(in_flight.frontend, 1)
        self.body_budget.release(in_flight.frontend, in_flight.upstream_request.body_size)
        if self.in_flight_registry is not None and in_flight.registry_place >= 0:
            self.in_flight_registry.release(in_flight.registry_place)
        if self.is_draining and not self.in_flight:
            self._drained.set()

    # Endpoint list

    def on_endpoint_list(self, endpoint_list: messages.EndpointList, addresses: Addresses) -> None:
        """Take in a new endpoint list.

        The decision module hears of it between the endpoints that come and those that go: what ends with one
        that goes is then not sent there once more.
        """
        up = {endpoint.id for endpoint in endpoint_list.endpoints if endpoint.state == "up"}
        for endpoint_id in up & addresses.keys():
            self.upstream.update_endpoint(endpoint_id, addresses[endpoint_id])
        self.dispatch(endpoint_list)
        listed = {endpoint.id for endpoint in endpoint_list.endpoints}
        if endpoint_list.mode != "delta":
            listed |= self.upstream.known_endpoints()
        for endpoint_id in listed - up:
            self.upstream.update_endpoint(endpoint_id, None)
        self.is_ready = self.is_ready or bool(self.upstream.known_endpoints())

    def on_endpoint_list_failed(self) -> None:
        """Tell the decision module that an endpoint list it asked for could not be had."""
        if self.settings.discovery_mode == "ask" and self.membership is not None:
            self.dispatch(messages.EndpointList("failed", self.membership.version, ()))

    # Actions that answer a request

    def _reject(self, action: messages.Reject) -> None:
        in_flight = self.in_flight.get(action.request_id)
        if in_flight is not None:
            self._note_retry_after(in_flight, action.retry_after)
            self.finish(in_flight, RequestOutcome.REFUSED, action.retry_after)

    def _fail(self, action: messages.Fail) -> None:
        in_flight = self.in_flight.get(action.request_id)
        if in_flight is not None:
            self.finish(in_flight, RequestOutcome.FAILED)

    def grant_quota(self, action: messages.QuotaGranted) -> None:
        """Answer a quota check: granted."""
        in_flight = self.in_flight.get(action.request_id)
        if in_flight is not None:
            self.finish(in_flight, RequestOutcome.GRANTED, action)

    def _deny_quota(self, action: messages.QuotaDenied) -> None:
        in_flight = self.in_flight.get(action.request_id)
        if in_flight is not None:
            self._note_retry_after(in_flight, action.retry_after)
            self.finish(in_flight, RequestOutcome.DENIED, action)

    def _note_retry_after(self, in_flight: InFlightRequest, retry_after: float) -> None:
        """Let admission know when a customer was told to come again, in seconds from now."""
        if self.admission is not None and retry_after > 0:
            self.admission.on_retry_after(in_flight.customer, retry_after)

    # Attempts

    def _forward(self, action: messages.ForwardRequest) -> None:
        """Send one attempt, or tell the decision module that it is moot."""
        in_flight = self.in_flight.get(action.request_id)
        if in_flight is None:
            return
        number = in_flight.attempt_count
        remaining = in_flight.deadline - time.monotonic()
        in_flight.attempt_count += 1
        may_send = self._may_send(in_flight, number)
        if in_flight.plugins is not None and remaining > 0 and may_send:
            remaining = self._notify_plugins(in_flight, action.endpoint_id)
        if remaining <= 0 or not may_send:
            # The module is told, or it would count one in flight at that endpoint for good.
            self.dispatch(
                messages.AttemptOutcome(
                    in_flight.request_id, number, action.endpoint_id, "moot", 0.0, in_flight.is_finished
                )
            )
            return
        timeout = min(remaining, action.timeout) if action.timeout > 0 else remaining
        payload = in_flight.upstream_request.encode(timeout)
        attempt = self.upstream.create_attempt(
            action.endpoint_id, payload, self._on_attempt_ended, (in_flight, number)
        )
        in_flight.active_attempts[number] = attempt
        self.upstream.send(attempt, timeout)

    def _may_send(self, in_flight: InFlightRequest, number: int) -> bool:
        limits = self.settings.limits
        if in_flight.is_finished:  # its end crossed the action
            return False
        if number >= limits.max_attempts:
            return False
        return not in_flight.active_attempts or limits.can_hedge

    def _notify_plugins(self, in_flight: InFlightRequest, endpoint_id: str) -> float:
        """Tell plug-ins of an attempt before it is sent; return the seconds that remain when they know."""
        try:
            if in_flight.plugins is not None:
                in_flight.plugins.on_attempt(endpoint_id)
        except Exception:
            log.exception("request %s: plug-ins", in_flight.request_id)
        return in_flight.deadline - time.monotonic()

    def _on_attempt_ended(self, attempt: UpstreamAttempt) -> None:
        in_flight: InFlightRequest
        number: int
        in_flight, number = attempt.tag
        result = attempt.result
        was_finished = in_flight.is_finished
        del in_flight.active_attempts[number]
        if was_finished and result == "connect_failed":
            result = "moot"  # abandoned before it was sent, which says nothing of the endpoint
        elif result == "ok" and not was_finished:
            self.finish(in_flight, RequestOutcome.SERVED, attempt.value)
        self._release_if_ended(in_flight)
        self.dispatch(
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

    def cancel_attempt(self, action: messages.CancelAttempt) -> None:
        """Abandon one attempt of a request."""
        in_flight = self.in_flight.get(action.request_id)
        if in_flight is not None and action.attempt in in_flight.active_attempts:
            self.upstream.abandon(in_flight.active_attempts[action.attempt], "cancelled")

    # Graceful shutdown

    async def drain(self, seconds: float) -> None:
        """Wait until all accepted requests are answered, and fail what is not within `seconds`."""
        if not self.in_flight:
            return
        self._drained.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._drained.wait()
        except TimeoutError:
            for in_flight in list(self.in_flight.values()):
                self._abort(in_flight)

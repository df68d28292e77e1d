"""A simulated gateway: a real decision module whose actions are executed without sockets."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from apigateway import messages
from apigateway.simulation.counter_client import add_to_counter
from apigateway.simulation.decision_module import DecisionModule
from apigateway.simulation.gateway_context import Environment, GatewayContext
from apigateway.simulation.health_checker import HealthChecker
from apigateway.simulation.in_flight import InFlightRequest, ResponseListener
from apigateway.simulation.metrics import Metric
from apigateway.simulation.network import Location
from apigateway.simulation.results import ResponseOutcome
from apigateway.simulation.upstream import UpstreamClient

RESPONSE_MARGIN_S = 0.03  # attempts end this long before the client gives up, as in the real core
UNDECIDED_MARGIN_S = 0.01  # a request without a decision fails this long before the client gives up
TIMER_MARGIN_S = 1e-6  # timers expire late by this, so that rounding never makes them early


class SimulatedGateway:
    """One gateway of the fleet.

    Attributes:
        location: Its place on the network.
        is_alive: Whether it is running.
        crashed_at: Time of its latest crash.
        upstream: Its attempts at hosts.
    """

    def __init__(
        self, environment: Environment, index: int, zone: str, make_module: Callable[[], DecisionModule]
    ) -> None:
        """Create a gateway; it serves after `start`.

        Args:
            environment: State that all gateways share.
            index: Its index in the fleet.
            zone: Its zone.
            make_module: Creates the decision module of each incarnation.
        """
        self._make_module = make_module
        self._environment = environment
        self.location = Location(f"g{index}", zone)
        self._context = GatewayContext(environment, index, self.location, self._dispatch)
        self.upstream = UpstreamClient(self._context)
        self._health_checker = HealthChecker(self._context)
        self._module: DecisionModule | None = None
        self._list_version = 0
        self.is_alive = False
        self.crashed_at = environment.clock.now

    # Life cycle

    def set_known_endpoints(self, endpoints: Iterable[messages.Endpoint]) -> None:
        """Set the endpoint list that the gateway knows."""
        self._context.known_endpoints = {endpoint.id: endpoint for endpoint in endpoints}

    def restart(self) -> None:
        """Start with the last known endpoint list, unless it is running."""
        if not self.is_alive:
            self.start(tuple(self._context.known_endpoints.values()))

    def start(self, endpoints: tuple[messages.Endpoint, ...]) -> None:
        """Start a new incarnation with a cached endpoint list."""
        self.is_alive = True
        self._context.incarnation += 1
        self._module = self._make_module()
        self._context.in_flight.clear()
        self.upstream.reset()
        self._dispatch(messages.EndpointList(messages.ListMode.CACHED, 1, endpoints))

    def crash(self) -> None:
        """Crash: all connections end, hosts drop its requests, and its clients notice."""
        self.is_alive = False
        self.crashed_at = self._environment.clock.now
        for request in list(self._context.in_flight.values()):
            for attempt in list(request.active_attempts.values()):
                self.upstream.abandon(attempt)
            request.respond(ResponseOutcome.CONNECTION_LOST)
        self._context.in_flight.clear()
        self.upstream.reset()

    def on_endpoint_changed(self, endpoint: messages.Endpoint) -> None:
        """Apply a change of the endpoint list."""
        context = self._context
        if endpoint.state != messages.EndpointStatus.UP:
            context.draining_since.setdefault(endpoint.id, self._environment.clock.now)
        else:
            context.draining_since.pop(endpoint.id, None)
        context.known_endpoints[endpoint.id] = endpoint
        if self.is_alive:
            self._list_version += 1
            mode = messages.ListMode.DELTA
            self._dispatch(messages.EndpointList(mode, self._list_version, (endpoint,)))

    # Clients

    def accept(self, request: messages.Request, work: float, listener: ResponseListener) -> None:
        """Accept a request of a client.

        Args:
            request: The request; `remaining` is the time until its client gives up.
            work: Core seconds that it takes on a host.
            listener: Receives the answer.
        """
        clock = self._environment.clock
        remaining = request.remaining - RESPONSE_MARGIN_S
        in_flight = InFlightRequest(request, work, clock.now + remaining, listener)
        self._context.in_flight[request.request_id] = in_flight
        undecided_after = remaining + RESPONSE_MARGIN_S - UNDECIDED_MARGIN_S
        clock.call_later(undecided_after, self._on_undecided, in_flight)
        self._dispatch(replace(request, remaining=remaining))

    def _on_undecided(self, request: InFlightRequest) -> None:
        """Fail a request without a decision in time."""
        if not request.is_answered and self.is_alive:
            self._environment.metrics.count(Metric.UNDECIDED_REQUESTS)
            self._finish(request, ResponseOutcome.FAILED)
            self._dispatch(messages.ClientDisconnected(request.request_id))

    def _finish(self, request: InFlightRequest, outcome: ResponseOutcome, retry_after: float = 0.0) -> None:
        request.respond(outcome, retry_after)
        self._context.remove_if_finished(request)

    # Decision module

    def _dispatch(self, event: messages.Event) -> None:
        """Pass an event to the decision module and execute its actions.

        Events that the actions cause are scheduled, except the outcome of a cancelled attempt, which is
        dispatched at once.
        """
        if not self.is_alive or self._module is None:
            return
        for action in self._module.handle(self._environment.clock.now, event):
            self._execute(action)

    def _execute(self, action: messages.Action) -> None:
        match action:
            case messages.ForwardRequest():
                self._forward(action)
            case messages.SetTimer():
                delay = action.delay + TIMER_MARGIN_S
                incarnation = self._context.incarnation
                self._environment.clock.call_later(delay, self._on_timer, incarnation, action.label)
            case messages.AddToCounter():
                add_to_counter(self._context, action)
            case messages.Reject():
                self._answer(action.request_id, ResponseOutcome.REJECTED, action.retry_after)
            case messages.Fail():
                self._answer(action.request_id, ResponseOutcome.FAILED)
            case messages.CancelAttempt():
                self._cancel(action)
            case messages.CheckHealth():
                self._health_checker.check(action.endpoint_id)

    def _forward(self, action: messages.ForwardRequest) -> None:
        request = self._context.in_flight.get(action.request_id)
        if request is not None and not request.is_answered:
            self.upstream.forward(request, action.endpoint_id)

    def _answer(self, request_id: str, outcome: ResponseOutcome, retry_after: float = 0.0) -> None:
        request = self._context.in_flight.get(request_id)
        if request is not None:
            self._finish(request, outcome, retry_after)

    def _cancel(self, action: messages.CancelAttempt) -> None:
        request = self._context.in_flight.get(action.request_id)
        attempt = request.active_attempts.get(action.attempt) if request is not None else None
        if attempt is not None:
            self.upstream.cancel(attempt)

    def _on_timer(self, incarnation: int, label: int) -> None:
        if incarnation == self._context.incarnation:
            self._dispatch(messages.TimerExpired(label))

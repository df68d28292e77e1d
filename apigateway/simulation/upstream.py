"""Connections and attempts of a simulated gateway."""

from __future__ import annotations

from apigateway import messages
from apigateway.messages import AttemptResult
from apigateway.simulation.gateway_context import CONNECT_REFUSED_DELAY_S, CONNECT_TIMEOUT_S, GatewayContext
from apigateway.simulation.host import HostMode, SimulatedHost
from apigateway.simulation.in_flight import Attempt, InFlightRequest
from apigateway.simulation.metrics import Metric
from apigateway.simulation.results import ResponseOutcome
from apigateway.simulation.shared_processor import HostTask

# After these results the connection can be reused.
REUSABLE_RESULTS = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED)


class UpstreamClient:
    """Sends attempts to hosts and reports their outcomes to the decision module.

    Attributes:
        attempt_count: Attempts since the start of the simulation.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._environment = context.environment
        self._idle_since: dict[str, list[float]] = {}  # start times of idle connections by host, newest last
        self.attempt_count = 0

    def reset(self) -> None:
        """Drop all idle connections, as when a gateway crashes or starts."""
        self._idle_since = {}

    def forward(self, request: InFlightRequest, endpoint_id: str) -> None:
        """Send an attempt to an endpoint."""
        environment = self._environment
        clock = environment.clock
        context = self._context
        attempt = request.create_attempt(endpoint_id, clock.now)
        self.attempt_count += 1
        environment.metrics.count(Metric.ATTEMPTS)
        draining_since = context.draining_since.get(endpoint_id)
        environment.rule_checker.on_attempt_sent(context.location.name, attempt, draining_since)
        host = environment.hosts.get(endpoint_id)
        if host is None or not self._is_reachable(host):
            environment.metrics.second(clock.now).unreachable += 1
        if host is None or host.refuses_connection(context.index):
            result = AttemptResult.CONNECT_FAILED
            clock.call_later(CONNECT_REFUSED_DELAY_S, self._on_result, attempt, result, context.incarnation)
            return
        attempt.host = host
        clock.call_at(request.deadline, self._on_deadline, attempt, context.incarnation)
        if self._take_idle_connection(host):
            self._send(attempt, host, delay=0.0, handshake_work=0.0)
        else:
            self._connect(attempt, host)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt, unless it is over."""
        if not attempt.is_over:
            self._close_connection(attempt)
            self._on_result(attempt, AttemptResult.CANCELLED, self._context.incarnation)

    def abandon(self, attempt: Attempt) -> None:
        """Close the connection of an attempt without notifying the decision module."""
        attempt.is_over = True
        self._close_connection(attempt)

    def _is_reachable(self, host: SimulatedHost) -> bool:
        if host.mode is HostMode.DEAD:
            return False
        return not self._environment.network.is_partitioned(self._context.location, host.location)

    def _take_idle_connection(self, host: SimulatedHost) -> bool:
        idle_since = self._idle_since.setdefault(host.endpoint.id, [])
        now = self._environment.clock.now
        if idle_since and now - idle_since[-1] > host.settings.idle_close:
            idle_since.clear()  # if the newest has expired, so have the others
        if not idle_since:
            return False
        idle_since.pop()
        return True

    def _connect(self, attempt: Attempt, host: SimulatedHost) -> None:
        """Open a connection, and send the attempt on it."""
        environment = self._environment
        environment.metrics.count(Metric.CONNECTIONS)
        round_trips = host.settings.handshake_trips
        transit = environment.network.transit_time(self._context.location, host.location)
        is_lost = transit is None and round_trips > 0
        if is_lost or host.is_silent:
            result = AttemptResult.CONNECT_FAILED
            incarnation = self._context.incarnation
            environment.clock.call_later(CONNECT_TIMEOUT_S, self._on_result, attempt, result, incarnation)
            return
        delay = (transit or 0.0) * 2 * round_trips
        self._send(attempt, host, delay=delay, handshake_work=host.settings.handshake)

    def _send(self, attempt: Attempt, host: SimulatedHost, delay: float, handshake_work: float) -> None:
        environment = self._environment
        transit = environment.network.transit_time(self._context.location, host.location)
        if transit is not None:
            incarnation = self._context.incarnation
            environment.clock.call_later(
                delay + transit, self._on_received, attempt, host, handshake_work, incarnation
            )

    def _on_received(
        self, attempt: Attempt, host: SimulatedHost, handshake_work: float, incarnation: int
    ) -> None:
        """Pass an attempt whose last byte has arrived to its host."""
        if attempt.is_over:
            return
        if host.mode is HostMode.DEAD:
            if not host.is_silent:
                self._send_result(attempt, host, AttemptResult.RESET, incarnation)
            return
        attempt.is_received = True
        request = attempt.request
        request.listener.on_attempt_received(attempt)

        def on_done(result: AttemptResult) -> None:
            attempt.is_rejected = result is AttemptResult.REJECTED
            self._send_result(attempt, host, result, incarnation, dict(host.reporter.report))

        attempt.task = HostTask(request.work + handshake_work, on_done)
        known_endpoint = self._context.known_endpoints.get(attempt.endpoint_id)
        sender_knew_start = (
            known_endpoint is not None and known_endpoint.started_at >= host.endpoint.started_at
        )
        host.accept(attempt.task, sender_knew_start)

    def _send_result(
        self,
        attempt: Attempt,
        host: SimulatedHost,
        result: AttemptResult,
        incarnation: int,
        load_report: dict[str, float] | None = None,
    ) -> None:
        """Send a result from the host to the gateway."""
        self._environment.network.send(
            host.location,
            self._context.location,
            self._on_result,
            attempt,
            result,
            incarnation,
            load_report,
        )

    def _on_result(
        self,
        attempt: Attempt,
        result: AttemptResult,
        incarnation: int,
        load_report: dict[str, float] | None = None,
    ) -> None:
        """End an attempt, answer its request if it was served, and tell the decision module."""
        if incarnation != self._context.incarnation or attempt.is_over:
            return
        attempt.is_over = True
        request = attempt.request
        now = self._environment.clock.now
        request.active_attempts.pop(attempt.number, None)
        is_final = request.is_answered or result is AttemptResult.OK
        if result in REUSABLE_RESULTS:
            self._idle_since.setdefault(attempt.endpoint_id, []).append(now)
        if result is AttemptResult.OK:
            request.respond(ResponseOutcome.SERVED)
        self._context.remove_if_finished(request)
        self._environment.metrics.count_attempt_result(result)
        self._context.dispatch(
            messages.AttemptOutcome(
                request_id=request.request_id,
                attempt=attempt.number,
                endpoint_id=attempt.endpoint_id,
                result=result,
                elapsed=now - attempt.started_at,
                is_final=is_final,
                load_report=load_report or {},
            )
        )

    def _on_deadline(self, attempt: Attempt, incarnation: int) -> None:
        if attempt.is_over or incarnation != self._context.incarnation:
            return
        self._close_connection(attempt)
        self._on_result(attempt, AttemptResult.TIMEOUT, incarnation)

    def _close_connection(self, attempt: Attempt) -> None:
        """Close the connection of an attempt, so that the host drops its task."""
        host = attempt.host
        if host is not None:
            self._environment.network.send(self._context.location, host.location, _drop_task, attempt)


def _drop_task(attempt: Attempt) -> None:
    if attempt.task is not None and attempt.host is not None:
        attempt.host.cancel(attempt.task)

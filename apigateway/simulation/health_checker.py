"""Health checks of a simulated gateway: a message to the host, answered by its load report."""

from __future__ import annotations

from apigateway import messages
from apigateway.messages import AttemptResult
from apigateway.simulation.gateway_context import (
    CONNECT_REFUSED_DELAY_S,
    CONNECT_TIMEOUT_S,
    GatewayContext,
    HealthCheckKey,
)
from apigateway.simulation.host import HostMode, SimulatedHost
from apigateway.simulation.metrics import Metric

ANSWERING_MODES = (HostMode.UP, HostMode.ERRORING, HostMode.FULL)


class HealthChecker:
    """Checks the health of hosts and passes the results to the decision module."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._environment = context.environment

    def check(self, endpoint_id: str) -> None:
        """Check a host; the result arrives within the connect timeout."""
        environment = self._environment
        clock = environment.clock
        context = self._context
        incarnation = context.incarnation
        key = HealthCheckKey(endpoint_id, clock.now)
        environment.metrics.count(Metric.HEALTH_CHECKS)
        host = environment.hosts.get(endpoint_id)
        if host is None or host.refuses_connection(context.index):
            result = AttemptResult.CONNECT_FAILED
            clock.call_later(CONNECT_REFUSED_DELAY_S, self._on_result, key, result, incarnation, {})
            return
        clock.call_later(CONNECT_TIMEOUT_S, self._on_result, key, AttemptResult.TIMEOUT, incarnation, {})
        environment.network.send(context.location, host.location, self._on_received, host, key, incarnation)

    def _on_received(self, host: SimulatedHost, key: HealthCheckKey, incarnation: int) -> None:
        """Send the answer of the host."""
        if host.mode in ANSWERING_MODES:
            self._environment.network.send(
                host.location,
                self._context.location,
                self._on_result,
                key,
                AttemptResult.OK,
                incarnation,
                dict(host.reporter.report),
            )

    def _on_result(
        self,
        key: HealthCheckKey,
        result: AttemptResult,
        incarnation: int,
        load_report: dict[str, float],
    ) -> None:
        finished = self._environment.finished_health_checks
        if incarnation != self._context.incarnation or key in finished:
            return
        if result is not AttemptResult.TIMEOUT:
            finished.add(key)
        elapsed = self._environment.clock.now - key.started_at
        self._context.dispatch(messages.HealthCheckResult(key.endpoint_id, result, elapsed, load_report))

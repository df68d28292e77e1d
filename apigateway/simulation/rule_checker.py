"""Checks the rules by observing simulated messages, independent of the state of decision modules."""

from __future__ import annotations

from collections.abc import Mapping

from apigateway import messages
from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.demand import Customer
from apigateway.simulation.in_flight import Attempt
from apigateway.simulation.metrics import Metric, Metrics, Rule
from apigateway.simulation.token_bucket import RecordingTokenBucket, TokenBucket

CEILING_MARGIN_S = 0.15  # adds the ceiling's rate over this time to its slack, for attempts in transit
CEILING_ROUNDING_UNITS = 1e-6
DRAIN_MARGIN_S = 0.05  # added to the grace period of a drain
# If more than this share of the requests to an overloaded host came from gateways that knew of its start, the
# overload is a violation by these gateways.
MAX_INFORMED_SHARE = 2 / 3


class RuleChecker:
    """Checks each attempt against the exact quotas and ceilings of all customers."""

    def __init__(
        self,
        clock: SimulatedClock,
        metrics: Metrics,
        rules: messages.Rules,
        plans: Mapping[str, messages.Plan],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._rules = rules
        self._plans = plans
        self._quotas: dict[str, RecordingTokenBucket] = {}
        self._ceilings: dict[str, TokenBucket] = {}

    def on_attempt_sent(self, gateway: str, attempt: Attempt, draining_since: float | None) -> None:
        """Check an attempt as it is sent.

        Args:
            gateway: Name of the gateway.
            attempt: The attempt.
            draining_since: When the gateway learned that the host drains or is down, or None.
        """
        if draining_since is not None:
            seconds = self._clock.now - draining_since
            if seconds > self._rules.drain_grace + DRAIN_MARGIN_S:
                detail = f"{gateway} to {attempt.endpoint_id}, {seconds:.2f} s after"
                self._metrics.add_violation(Rule.DRAIN, detail)
        request = attempt.request
        if len(request.active_attempts) > 1:
            detail = f"{request.request_id} at {attempt.endpoint_id}"
            self._metrics.add_violation(Rule.ONE_ATTEMPT_AT_A_TIME, detail)

    def on_attempt_received(
        self, attempt: Attempt, customer: Customer, service_class: messages.ServiceClass
    ) -> bool | None:
        """Check an attempt whose last byte has reached its host, and charge the customer.

        Returns:
            Whether the request is within the customer's quota; None if an earlier attempt was charged.
        """
        request = attempt.request
        earlier_attempts = [other for other in request.attempts if other is not attempt]
        if service_class.idempotency == messages.Idempotency.UNSAFE and any(
            other.may_be_executed for other in earlier_attempts
        ):
            detail = f"{request.request_id} at {attempt.endpoint_id}"
            self._metrics.add_violation(Rule.NO_REPEAT, detail)
        if any(other.is_received for other in earlier_attempts):
            return None
        self._metrics.count(Metric.UNITS_FORWARDED)
        is_within_quota = self._take_from_quota(customer)
        if not is_within_quota:
            plan = customer.plan
            cost = service_class.priority_weight * plan.price_weight * plan.over_quota_cost
            self._metrics.count(Metric.UNITS_OVER_QUOTA)
            self._metrics.add_over_quota_cost(cost)
        self._take_from_ceiling(customer)
        return is_within_quota

    def _take_from_quota(self, customer: Customer) -> bool:
        """Take a unit if one remains, and return whether one did."""
        plan = customer.plan
        if not plan.rate:
            return True
        now = self._clock.now
        quota = self._quotas.get(customer.name)
        if quota is None:
            quota = RecordingTokenBucket(plan.rate, plan.burst, now)
            self._quotas[customer.name] = quota
        if quota.refill(now) < 1:
            return False
        quota.take()
        return True

    def _take_from_ceiling(self, customer: Customer) -> None:
        plan = customer.plan
        if not plan.ceiling_rate:
            return
        now = self._clock.now
        ceiling = self._ceilings.get(customer.name)
        if ceiling is None:
            ceiling = TokenBucket(plan.ceiling_rate, plan.ceiling_burst, now)
            self._ceilings[customer.name] = ceiling
        ceiling.refill(now)
        ceiling.take()
        if (
            ceiling.level
            < -plan.ceiling_slack - CEILING_MARGIN_S * plan.ceiling_rate - CEILING_ROUNDING_UNITS
        ):
            self._metrics.add_violation(Rule.CEILING, f"{customer.name}, {-ceiling.level:.2f} units beyond")

    def has_quota(self, customer: str, plan: str, age: float) -> bool:
        """Return whether a customer's quota had a unit left `age` seconds ago."""
        if not self._plans[plan].rate:
            return True
        quota = self._quotas.get(customer)
        return quota is None or quota.level_at(self._clock.now - age) >= 1

    def on_host_overloaded(self, endpoint_id: str, informed_share: float) -> None:
        """Check a host that failed by overload during its slow start.

        Args:
            endpoint_id: Id of the host.
            informed_share: Share of its requests from gateways that knew of its start.
        """
        self._metrics.count(Metric.OVERLOADED_HOSTS)
        if informed_share > MAX_INFORMED_SHARE:
            self._metrics.add_violation(Rule.SLOW_START, f"{endpoint_id}, cold")

    def on_unanswered(self, request_id: str) -> None:
        """Record a request without an answer."""
        self._metrics.add_violation(Rule.ANSWER, request_id)

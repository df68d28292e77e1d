"""Load shedding: while endpoints are congested, requests of the lowest priority density are rejected."""

from apigateway.policy.endpoint_pool import MAX_ATTEMPTS_PER_ENDPOINT
from apigateway.policy.pending_queue import PendingRequest
from apigateway.routing import AdmittedShare, RecentValues

DECREASE_RATE_PER_S = 0.7  # exponential rate at which the admitted share falls while endpoints are congested
RECOVERY_RATE_PER_S = 0.15  # linear rate at which the admitted share recovers after the congestion
MIN_ADMITTED_SHARE = 0.05  # above 0, so that the end of the congestion is detected
REQUESTS_COMPARED = 64  # latest requests whose priority densities are ranked


class LoadShedder:
    """Sheds load on congestion of any cause, where there are many gateways.

    One of many gateways has too few attempts in flight to relieve the endpoints by its limits alone.
    """

    def __init__(self, now: float, gateway_count: int) -> None:
        self.admitted = AdmittedShare(now, DECREASE_RATE_PER_S, RECOVERY_RATE_PER_S, MIN_ADMITTED_SHARE)
        self._has_many_gateways = gateway_count > MAX_ATTEMPTS_PER_ENDPOINT
        self._densities = RecentValues(REQUESTS_COMPARED)

    def should_shed(self, now: float, pending: PendingRequest, is_congested: bool, draw: float) -> bool:
        """Record a request, and return whether to reject it.

        `draw`, a random number from 0 to 1, decides among requests of equal priority density.
        """
        self._densities.add(pending.priority_density)
        share = self.admitted.update(now, is_congested)
        shed_count = (1 - share) * len(self._densities) * self._has_many_gateways
        return shed_count > 0 and self._densities.rank(pending.priority_density, draw) < shed_count

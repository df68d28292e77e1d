"""Load shedding: while endpoints hold too much, requests of least priority for their work are rejected."""

from apigateway.policy.endpoint_pool import MAX_ATTEMPTS_PER_ENDPOINT
from apigateway.policy.pending_queue import PendingRequest
from apigateway.routing import AdmittedShare, RecentValues

DECREASE_RATE_PER_S = 0.7  # 1/s; how fast the admitted share falls while endpoints are congested
RECOVERY_RATE_PER_S = 0.15  # 1/s; how fast it comes back
MIN_ADMITTED_SHARE = 0.05  # still passes, so that the end of the congestion is seen
REQUESTS_COMPARED = 64  # latest requests


class LoadShedder:
    """Sheds whatever the cause: a gateway of many has too few attempts out to relieve endpoints by limits."""

    def __init__(self, now: float, gateway_count: int) -> None:
        self.admitted = AdmittedShare(now, DECREASE_RATE_PER_S, RECOVERY_RATE_PER_S, MIN_ADMITTED_SHARE)
        self._has_many_gateways = gateway_count > MAX_ATTEMPTS_PER_ENDPOINT
        self._densities = RecentValues(REQUESTS_COMPARED)

    def should_shed(self, now: float, pending: PendingRequest, is_congested: bool, draw: float) -> bool:
        """Take up a request, and return whether to reject it; `draw` decides among those of one density."""
        self._densities.add(pending.priority_density)
        share = self.admitted.update(now, is_congested)
        shed_count = (1 - share) * len(self._densities) * self._has_many_gateways
        return shed_count > 0 and self._densities.rank(pending.priority_density, draw) < shed_count

"""Load shedding: while endpoints hold too much, what is worth least a unit of work is rejected first."""

from random import Random

from apigateway.policy.endpoint_pool import LIMIT_MOST
from apigateway.routing import AdmittedShare, RecentValues

DECREASE_RATE = 0.7  # 1/s; how fast the admitted share falls while endpoints are congested
RECOVERY_RATE = 0.15  # 1/s; how fast it comes back
MIN_ADMITTED_SHARE = 0.05  # still passes, so that the end of the congestion is seen
VALUES_COMPARED = 64  # latest requests


class LoadShedder:
    """Sheds whatever the cause: a gateway of many has too few attempts out to relieve endpoints by limits."""

    def __init__(self, now: float, gateway_count: int) -> None:
        self.admitted = AdmittedShare(now, DECREASE_RATE, RECOVERY_RATE, MIN_ADMITTED_SHARE)
        self._has_many_gateways = gateway_count > LIMIT_MOST
        self._values = RecentValues(VALUES_COMPARED)

    def should_shed(self, now: float, value: float, is_congested: bool, rng: Random) -> bool:
        """Take up a request, and return whether to reject it."""
        draw = rng.random()  # decides among those worth the same
        self._values.add(value)
        share = self.admitted.update(now, is_congested)
        shed_count = (1 - share) * len(self._values) * self._has_many_gateways
        return shed_count > 0 and self._values.rank(value, draw) < shed_count

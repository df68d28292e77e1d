"""The health of the shared counter: whether it may be called, and which calls are worth their cost."""

from apigateway import messages
from apigateway.routing import CallHealth

RATIONING_CONGESTION = 0.5  # share of the timeout that calls take, above which they are rationed
CONGESTION_PRICE = 4.0  # price of a call, in requests, per unit of congestion above RATIONING_CONGESTION
# Before the counter's first answer, the assumed congestion grows with the number of gateways, up to 0.5. With
# this many gateways it is half of that.
HALF_PRIOR_GATEWAYS = 20.0
MAX_PAUSE_S = 1.0  # between calls to a counter that does not answer
LATEST_CALL_WEIGHT = 0.15  # in the mean congestion: a change must show within a few calls
# Benefit, in requests, of a call that only corrects the count for others or checks a limit that is seldom
# reached.
SECONDARY_CALL_BENEFIT = 0.15


class CounterHealth(CallHealth):
    """The counter as this gateway sees it. Calls are rationed as they take longer."""

    def __init__(self, settings: messages.Settings) -> None:
        congestion = 0.5 * settings.gateway_count / (settings.gateway_count + HALF_PRIOR_GATEWAYS)
        super().__init__(settings.counter_timeout, congestion, LATEST_CALL_WEIGHT, MAX_PAUSE_S)
        self.is_configured = settings.has_counter
        self.consecutive_failures = 0 if settings.has_counter else 1
        self.price = settings.counter_price

    def is_usable(self, now: float) -> bool:
        """Return whether the counter may be called."""
        return self.is_configured and now >= self.retry_at

    def call_probability(self, benefit: float) -> float:
        """Return the probability with which to make a call, given its benefit in requests.

        Calls with little benefit are dropped first as the counter becomes congested.
        """
        congestion_price = CONGESTION_PRICE * max(0.0, self.congestion - RATIONING_CONGESTION)
        return min(1.0, benefit / max(1e-9, self.price + congestion_price))

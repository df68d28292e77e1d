"""Whether the shared counter may be called, and which calls are worth its time."""

from apigateway import messages
from apigateway.routing import CallHealth

RATIONED_CONGESTION = 0.5  # part of the time-out that calls take, from which they are rationed
CONGESTION_PRICE = 4.0  # price of a call, in requests, times what the congestion is beyond that
HALF_CROWD = 20.0  # gateways that are taken for half a crowd, before the counter has answered
MAX_PAUSE = 1.0  # s; between calls of a counter that does not answer
QUICK_GAIN = 0.15  # weight of the latest call in the congestion: a change must show in a few calls
SIDE_CALL_GAIN = 0.15  # of a call that only mends a count for others, or finds a limit seldom reached


class CounterHealth(CallHealth):
    """The counter as this gateway sees it; calls are rationed as they take longer."""

    def __init__(self, settings: messages.Settings) -> None:
        congestion = 0.5 * settings.gateway_count / (settings.gateway_count + HALF_CROWD)
        super().__init__(settings.counter_timeout, congestion, QUICK_GAIN, MAX_PAUSE)
        self.is_configured = settings.has_counter
        self.consecutive_failures = 0 if settings.has_counter else 1
        self.price = settings.counter_price

    def is_usable(self, now: float) -> bool:
        """Return whether the counter may be called."""
        return self.is_configured and now >= self.retry_at

    def call_probability(self, gain: float) -> float:
        """Return how likely a call is made: the less it can change a decision, the sooner it gives way."""
        congestion_price = CONGESTION_PRICE * max(0.0, self.congestion - RATIONED_CONGESTION)
        return min(1.0, gain / max(1e-9, self.price + congestion_price))

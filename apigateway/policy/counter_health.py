"""Whether the shared counter may be called, and which calls are worth its time."""

from __future__ import annotations

from apigateway import messages

CROWDED, CROWD_STEEP = 0.5, 4.0  # part of the time-out from which a call is rationed; price there, in tries
CROWD_OF = 20.0  # gateways that are half a crowd, before the counter has been heard
MAX_BACKOFF = 1.0  # s; longest pause between tries of a counter that does not answer
QUICK = 0.15  # weight of the latest call in the congestion: a change must show in a few calls


class CounterHealth:
    def __init__(self, settings: messages.Settings) -> None:
        self.is_configured = settings.has_counter
        self.timeout, self.price = settings.counter_timeout, settings.counter_price
        self.failures, self.retry_at = int(not self.is_configured), 0.0
        count = settings.gateway_count
        self.congestion = 0.5 * count / (count + CROWD_OF)  # many start as in a crowd

    def is_usable(self, now: float) -> bool:
        return self.is_configured and now >= self.retry_at

    def call_probability(self, gain: float) -> float:
        """Chance that a call is made: the less it can change the decision, the sooner it gives way."""
        return min(1.0, gain / max(1e-9, self.price + CROWD_STEEP * max(0.0, self.congestion - CROWDED)))

    def observe(self, now: float, ok: bool, elapsed: float) -> None:
        self.congestion += QUICK * ((min(1.0, elapsed / self.timeout) if ok else 1.0) - self.congestion)
        if ok:
            self.failures = 0
        elif now >= self.retry_at:  # a burst of failures counts once
            self.failures += 1
            self.retry_at = now + min(MAX_BACKOFF, self.timeout * 2.0 ** self.failures)

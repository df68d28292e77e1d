"""The state of one endpoint at this gateway: own attempts, load reports, slow start and backoff."""

import math
from typing import NamedTuple

from apigateway import messages
from apigateway.hashing import stable_hash
from apigateway.routing import (
    AttemptTimes,
    FailureBackoff,
    FaultScope,
    LoadEstimate,
    SlowStartTokens,
    slow_start_factor,
)

# After one failure: an endpoint that fails at once always has free capacity and would attract requests.
MIN_BACKOFF_S = 0.02
# After many failures in a row. It delays the detection of a recovery by up to this time.
MAX_BACKOFF_S = 0.5


class EndpointScore(NamedTuple):
    """How well an endpoint suits the requests of one fault scope."""

    valid_until: float
    health: float  # success probability, 0 to 1
    cost: float  # without the cost of its load


class EndpointState(LoadEstimate):
    """One endpoint as this gateway sees it. `draw` is a random number from 0 to 1 that differs by gateway."""

    def __init__(
        self, host: messages.Endpoint, now: float, draw: float, attempts_in_flight: AttemptTimes
    ) -> None:
        super().__init__(attempts_in_flight)
        self.host = host
        self.is_up = host.is_up
        self.gone_at = math.inf
        self.max_attempts_in_flight = 0  # of this gateway
        self.rounding_draw = draw  # rounds that limit: the share of one gateway may be less than one
        self.slow_start_tokens = SlowStartTokens(draw, now)  # spreads the first attempts of many gateways
        self.backoff = FailureBackoff(MIN_BACKOFF_S, MAX_BACKOFF_S)
        self.response_time_ratio = 1.0  # its response time divided by the mean of all endpoints
        self.cross_zone_cost = 0.0
        self.scores: dict[FaultScope, EndpointScore] = {}
        self.ring_position = stable_hash(host.id)
        self.in_subset = False
        self.position = -1  # in the list of endpoints with capacity; -1: not in it

    def slow_start_factor(self, now: float, rules: messages.Rules) -> float:
        """Return the share of its full capacity that the endpoint has now."""
        return slow_start_factor(self.host.started_at, now, rules.slow_start_duration, rules.initial_capacity)

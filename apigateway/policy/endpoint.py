"""What this gateway knows of one endpoint: its own attempts there, load reports, slow start and backoff."""

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

MIN_PAUSE = 0.02  # s; after one failure: one that fails at once is always free and would draw requests
MAX_PAUSE = 0.5  # s; after many in a row. Harm: one that recovers is found so much late


class EndpointScore(NamedTuple):
    """How well an endpoint suits one kind of request."""

    valid_until: float
    health: float  # 0 to 1
    cost: float  # without its load


class EndpointState(LoadEstimate):
    """One endpoint, as this gateway sees it; `draw`, 0 to 1, makes gateways differ."""

    def __init__(self, host: messages.Endpoint, now: float, draw: float, out: AttemptTimes) -> None:
        super().__init__(out)
        self.host = host
        self.is_up = host.is_up
        self.gone_at = math.inf
        self.max_attempts_in_flight = 0  # out at once
        self.rounding_draw = draw  # rounds it: the part of one gateway may be less than one
        self.slow_start_tokens = SlowStartTokens(draw, now)  # first ones of many gateways come one by one
        self.backoff = FailureBackoff(MIN_PAUSE, MAX_PAUSE)
        self.time_ratio = 1.0  # its response time over the mean of all
        self.zone_cost = 0.0
        self.scores: dict[FaultScope, EndpointScore] = {}
        self.ring_position = stable_hash(host.id)
        self.in_subset = False
        self.position = -1  # in the list of those with capacity

    def slow_start_factor(self, now: float, rules: messages.Rules) -> float:
        """Return what part of its capacity it has."""
        return slow_start_factor(self.host.started_at, now, rules.slow_start_duration, rules.initial_capacity)

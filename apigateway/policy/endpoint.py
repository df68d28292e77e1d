"""What this gateway knows of one endpoint: its attempts there, its load reports, its warm-up, its pauses."""

from __future__ import annotations

import math

from apigateway import messages
from apigateway.hashing import stable_hash
from apigateway.routing.failure_backoff import FailureBackoff

MIN_PAUSE, MAX_PAUSE = 0.02, 0.5  # s; pause of a host after one failure there, and after many in a row


class EndpointState:
    def __init__(self, host: messages.Endpoint, now: float, credit: float,
                 out: dict[tuple[str, int], float]) -> None:
        self.host, self.is_up, self.attempts_out = host, host.state == "up", out  # when each was sent
        self.reported_load, self.reported_at = 0.0, -math.inf  # without this gateway's own attempts
        self.time_ratio = 1.0  # its response time over the mean of all
        self.gone_at = math.inf
        # One that fails at once is always free and would draw requests from busy ones. Harm: after a chance
        # failure a sound host idles for a moment, and one that comes back is found MAX_PAUSE late.
        self.backoff = FailureBackoff(MIN_PAUSE, MAX_PAUSE)  # of the host or a class there
        self.slow_start_tokens, self.tokens_at = credit, now  # sends it may get from here while cold
        self.rounding_draw = credit  # rounds what is less than one of the attempts that may be out there
        self.ring_position, self.in_subset = stable_hash(host.id), False
        self.max_attempts, self.position = 0, -1  # attempts out at once; where it stands among the free ones
        self.scores: dict[tuple[str, ...], tuple[float, float, float]] = {}  # until when, soundness, cost
        self.report_weight, self.weighed_until, self.zone_cost = 0.0, 0.0, 0.0

    def slow_start_factor(self, now: float, rules: messages.Rules) -> float:
        age = max(0.0, now - self.host.started_at)
        cold = 0 < self.host.started_at and age < rules.slow_start_duration
        least = rules.initial_capacity
        return least + (1 - least) * age / rules.slow_start_duration if cold else 1.0

"""What this gateway knows of one endpoint: its attempts there, its load reports, its warm-up, its pauses."""

from __future__ import annotations

import math

from apigateway import messages
from apigateway.hashing import stable_hash
from apigateway.routing.failure_backoff import FailureBackoff

TRIAL_LEAST, TRIAL_MOST = 0.02, 0.5  # s; pause of a host after one failure there, and after many in a row


class Server:
    def __init__(self, host: messages.Endpoint, now: float, credit: float,
                 out: dict[tuple[str, int], float]) -> None:
        self.host, self.up, self.out = host, host.state == "up", out  # attempts out: when sent
        self.others, self.others_at, self.ratio = 0.0, -math.inf, 1.0  # ratio: time against the fleet's
        self.gone_at = math.inf
        # One that fails at once is always free and would draw requests from busy ones. Harm: after a chance
        # failure a sound host idles for a moment, and one that comes back is found TRIAL_MOST late.
        self.backoff = FailureBackoff(TRIAL_LEAST, TRIAL_MOST)  # of the host or a class there
        self.credit, self.credit_at = credit, now  # sends it may get from here while cold
        self.drawn = credit  # what is less than one of the attempts that may be out there, rounded by chance
        self.ring, self.near = stable_hash(host.id), False  # its place among all; in this gateway's subset
        self.places, self.position = 0, -1  # attempts out at once; where it stands among the free ones
        self.judged: dict[tuple[str, ...], tuple[float, float, float]] = {}  # until when, soundness, cost
        self.fresh, self.fresh_until, self.cross = 0.0, 0.0, 0.0  # weight of its report; price of its zone

    def warmth(self, now: float, rules: messages.Rules) -> float:
        age = max(0.0, now - self.host.started_at)
        cold = 0 < self.host.started_at and age < rules.slow_start_duration
        least = rules.initial_capacity
        return least + (1 - least) * age / rules.slow_start_duration if cold else 1.0

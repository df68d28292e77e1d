"""The current and past load of hosts, for baselines that see it with a delay."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping

from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.host import SimulatedHost

SAMPLE_PERIOD_S = 0.05
MAX_SAMPLES = 40  # per host: 2 s


class HostLoadHistory:
    """Samples the load of all hosts."""

    def __init__(self, clock: SimulatedClock, hosts: Mapping[str, SimulatedHost]) -> None:
        self._clock = clock
        self._hosts = hosts
        self._samples: dict[str, deque[float]] = {}

    def start(self) -> None:
        """Take a sample now, and then one in each sample period."""
        self._take_sample()

    def _take_sample(self) -> None:
        for endpoint_id, host in self._hosts.items():
            samples = self._samples.get(endpoint_id)
            if samples is None:
                samples = deque(maxlen=MAX_SAMPLES)
                self._samples[endpoint_id] = samples
            samples.append(host.load_per_core())
        self._clock.call_later(SAMPLE_PERIOD_S, self._take_sample)

    def load_per_core(self, endpoint_id: str, age: float) -> float:
        """Return the requests per core of a host `age` seconds ago, or infinity if the host is gone."""
        host = self._hosts.get(endpoint_id)
        if host is None:
            return math.inf
        samples = self._samples.get(endpoint_id)
        if not age or not samples:
            return host.load_per_core()
        return samples[-min(len(samples), max(1, round(age / SAMPLE_PERIOD_S)))]

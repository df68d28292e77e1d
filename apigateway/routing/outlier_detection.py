"""Which hosts are taken to fail, from what came of the attempts there: pure, below the decision module."""

from __future__ import annotations

FORGET = 10.0  # s; half of what is known of a host's failures is forgotten, which is its next trial
DOUBT_LEAST, DOUBT_MOST = 0.02, 0.6  # bounds of the part of hosts taken to fail before anything is seen
FAILS, CHANCE = 0.9, 0.05  # share of attempts that fail at a failing host; at a sound one
GAIN = 0.05  # weight of a new answer in the part of all hosts that fail


class OutlierDetector:
    """How likely a host fails, at the level where the symptom shows: the whole host, a class, a plan there.

    One answer to errors, silence, lost connections and `full`: evidence at each level, by how much of the
    fleet fails there, so that an answer of another kind clears nothing. In trouble proven hosts come first.
    Harm: after a chance failure a sound host gets less until half is forgotten."""

    def __init__(self) -> None:
        self.hosts: dict[str, dict[str, tuple[float, float]]] = {}
        self.pool: dict[str, float] = {}

    def at(self, host: str, key: str, now: float) -> float:
        pool = self.pool.get(key, DOUBT_LEAST)
        known = self.hosts.get(host, {}).get(key)
        return pool if known is None else pool + (known[0] - pool) * 0.5 ** ((now - known[1]) / FORGET)

    def success_probability(self, host: str, keys: tuple[str, ...], now: float) -> float:
        worst, seen = 0.0, self.hosts.get(host, {})  # max over `at`, written out: it runs for most requests
        for key in keys:
            q, known = self.pool.get(key, DOUBT_LEAST), seen.get(key)
            if known is not None:
                q += (known[0] - q) * 0.5 ** ((now - known[1]) / FORGET)
            if q > worst:
                worst = q
        return (1 - worst) ** 2

    def record(self, host: str, keys: tuple[str, ...], failed: bool, now: float) -> None:
        most = max(self.pool.get(key, DOUBT_LEAST) for key in keys)
        for key in keys:
            pool, q = self.pool.get(key, DOUBT_LEAST), self.at(host, key, now)
            if failed:
                q += (q * FAILS / (q * FAILS + (1 - q) * CHANCE) - q) * (pool / most) ** 2
            else:  # any answer shows that the host as a whole works, but not that it serves the other kinds
                q = 0.0 if key == keys[0] else q * (1 - FAILS) / (q * (1 - FAILS) + (1 - q) * (1 - CHANCE))
            self.hosts.setdefault(host, {})[key] = (q, now)
            self.pool[key] = min(DOUBT_MOST, max(DOUBT_LEAST, pool + GAIN * (q - pool)))

    def forget(self, host: str) -> None:
        self.hosts.pop(host, None)

"""Whether a whole zone can be reached from here: pure, below the decision module.

A zone that is lost, or cut off from this gateway, fails host by host, and a gateway that sees three requests
a second would find each of them by itself, at a quarter of a second and an attempt apiece. Failures at
several hosts of one zone with no answer from any between them say more than as many at one host. Bad news of
one zone says nothing of another, and an answer from any host of a zone clears it.
"""

from __future__ import annotations

from typing import Any

from apigateway.messages import AttemptResult

LEAST_HOSTS = 6  # of a zone; of fewer the hosts themselves tell as fast
PARTS = (1.0, 0.7, 0.25, 0.08)  # of what it would get, by how many of its hosts failed since its last answer
LEAST_PART = 0.04  # goes on as trials: over all gateways a returning zone is found in a fraction of a second
FADE = 2.0  # s after which half of what is known has faded, so that a false alarm ends by itself
FADED = 4 * FADE  # s after which what is known counts no more


class Zone:
    """What is known of one zone."""

    __slots__ = ("failed", "failed_at", "failing_since", "host_count")

    def __init__(self) -> None:
        self.host_count = 0  # that are up by the list
        self.failed: set[str] = set()  # hosts, since its last answer
        self.failed_at = 0.0  # its last failure
        self.failing_since = 0.0  # the first failure since its last answer


class ZoneHealth:
    """All zones of the endpoint list."""

    def __init__(self) -> None:
        self.known: dict[str, Zone] = {}
        self.evacuated: frozenset[str] = frozenset()  # by the operator's word
        self.suspect_count = 0  # zones with a failure since their last answer; 0 costs nothing

    def set_listed_zones(self, zones: list[str]) -> None:
        """Take up the zone of each host that is up."""
        for zone in self.known.values():
            zone.host_count = 0
        for name in zones:
            self.known.setdefault(name, Zone()).host_count += 1
        # One without hosts is never answered for: what is known of it would stay, and be reported, for good.
        self.known = {name: zone for name, zone in self.known.items() if zone.host_count}
        self.suspect_count = sum(bool(zone.failed) for zone in self.known.values())

    def record_answer(self, name: str) -> None:
        """Take up that a host there gave any answer at all."""
        if self.suspect_count and (zone := self.known.get(name)) is not None and zone.failed:
            zone.failed.clear()
            self.suspect_count -= 1

    def record_no_answer(self, name: str, host: str, now: float) -> None:
        """Take up that no connection to a host there came up, or that an attempt there is silent."""
        zone = self.known.get(name)
        if zone is None or zone.host_count < LEAST_HOSTS:
            return
        if not zone.failed:
            self.suspect_count += 1
            zone.failing_since = now
        elif now - zone.failed_at > FADED:
            zone.failed.clear()
            zone.failing_since = now
        zone.failed.add(host)
        zone.failed_at = now

    def on_result(self, name: str, host: str, result: AttemptResult, now: float) -> None:
        """Take up the result of an attempt; a reset may come from the host as well as from the way there."""
        if result == AttemptResult.CONNECT_FAILED:
            self.record_no_answer(name, host, now)
        elif result in (AttemptResult.ERROR, AttemptResult.REJECTED, AttemptResult.OK):
            self.record_answer(name)

    def traffic_share(self, name: str, now: float) -> float:
        """Return what part its hosts get of what they would, 0 to 1."""
        zone = self.known.get(name)
        if zone is None or not zone.failed:
            return 1.0
        count = len(zone.failed)
        low = PARTS[count] if count < len(PARTS) else LEAST_PART
        faded: float = 0.5 ** (max(0.0, now - zone.failed_at) / FADE)
        return 1.0 - (1.0 - low) * faded

    def status(self, now: float) -> dict[str, dict[str, Any]]:
        """Return the zones with a failure since their last answer, for operators.

        Of each: how many of its hosts failed, for how many seconds that has been so, and what part it gets.
        """
        return {
            name: {
                "silent": len(zone.failed),
                "hosts": zone.host_count,
                "for": round(now - zone.failing_since, 3),
                "part": round(self.traffic_share(name, now), 3),
            }
            for name, zone in self.known.items()
            if zone.failed
        }

"""Detects zones that cannot be reached from this gateway. No I/O.

When a zone is lost or cut off from this gateway, all of its hosts fail. A gateway with three requests per
second would detect them one by one, at the cost of a quarter of a second and one attempt each. Failures at
several hosts of a zone without any answer between them are stronger evidence than as many failures at one
host. Failures in one zone do not affect other zones, and an answer from any host of a zone clears it.
"""

from __future__ import annotations

from typing import Any

from apigateway.messages import AttemptResult

MIN_HOSTS = 6  # in a zone; in a smaller one, failing hosts are detected as fast one by one
TRAFFIC_SHARES = (1.0, 0.7, 0.25, 0.08)  # by the number of hosts that failed since the zone's last answer
MIN_TRAFFIC_SHARE = 0.04  # trials; those of all gateways detect a recovery within a fraction of a second
HALF_LIFE_S = 2.0  # of the reduction of traffic, so that a false positive ends by itself
EXPIRY_S = 4 * HALF_LIFE_S  # after this time without a failure, earlier failures are discarded


class ZoneState:
    """The failures of one zone."""

    __slots__ = ("failed_hosts", "failing_since", "host_count", "last_failure_at")

    def __init__(self) -> None:
        self.host_count = 0  # hosts that are up according to the endpoint list
        self.failed_hosts: set[str] = set()  # since the last answer
        self.last_failure_at = 0.0
        self.failing_since = 0.0  # the first failure since the last answer


class ZoneHealth:
    """The health of all zones in the endpoint list."""

    def __init__(self) -> None:
        self.zones: dict[str, ZoneState] = {}
        self.evacuated: frozenset[str] = frozenset()  # set by the operator
        self.suspect_count = 0  # zones with a failure since their last answer; 0 skips the lookups

    def set_listed_zones(self, host_zones: list[str]) -> None:
        """Update the zones from a list that contains the zone of each host that is up."""
        for zone in self.zones.values():
            zone.host_count = 0
        for name in host_zones:
            self.zones.setdefault(name, ZoneState()).host_count += 1
        # A zone without hosts never answers, so its failures would be kept and reported forever.
        self.zones = {name: zone for name, zone in self.zones.items() if zone.host_count}
        self.suspect_count = sum(bool(zone.failed_hosts) for zone in self.zones.values())

    def record_answer(self, name: str) -> None:
        """Record that a host of a zone answered, with any result."""
        if self.suspect_count and (zone := self.zones.get(name)) is not None and zone.failed_hosts:
            zone.failed_hosts.clear()
            self.suspect_count -= 1

    def record_no_answer(self, name: str, host: str, now: float) -> None:
        """Record that a connection to a host of a zone failed, or that an attempt there had no answer."""
        zone = self.zones.get(name)
        if zone is None or zone.host_count < MIN_HOSTS:
            return
        if not zone.failed_hosts:
            self.suspect_count += 1
            zone.failing_since = now
        elif now - zone.last_failure_at > EXPIRY_S:
            zone.failed_hosts.clear()
            zone.failing_since = now
        zone.failed_hosts.add(host)
        zone.last_failure_at = now

    def on_result(self, name: str, host: str, result: AttemptResult, now: float) -> None:
        """Record the result of an attempt. A reset is ignored: it may come from the host or the network."""
        if result == AttemptResult.CONNECT_FAILED:
            self.record_no_answer(name, host, now)
        elif result in (AttemptResult.ERROR, AttemptResult.REJECTED, AttemptResult.OK):
            self.record_answer(name)

    def traffic_share(self, name: str, now: float) -> float:
        """Return the share, 0 to 1, of their normal traffic that the hosts of a zone get."""
        zone = self.zones.get(name)
        if zone is None or not zone.failed_hosts:
            return 1.0
        count = len(zone.failed_hosts)
        reduced_share = TRAFFIC_SHARES[count] if count < len(TRAFFIC_SHARES) else MIN_TRAFFIC_SHARE
        decay: float = 0.5 ** (max(0.0, now - zone.last_failure_at) / HALF_LIFE_S)
        return 1.0 - (1.0 - reduced_share) * decay

    def status(self, now: float) -> dict[str, dict[str, Any]]:
        """Return the zones with a failure since their last answer, for operators.

        Each entry has the number of failed hosts, the number of hosts, the seconds since the first failure
        and the share of traffic.
        """
        return {
            name: {
                "silent": len(zone.failed_hosts),
                "hosts": zone.host_count,
                "for": round(now - zone.failing_since, 3),
                "part": round(self.traffic_share(name, now), 3),
            }
            for name, zone in self.zones.items()
            if zone.failed_hosts
        }

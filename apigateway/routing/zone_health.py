"""Whether a whole site can be reached from here: pure, below the decision module.

A site (a zone) that is lost, or cut off from this gateway, fails host by host, and a gateway that sees three
requests a second would find each of them by itself, at a quarter of a second and an attempt apiece. Failures
at several hosts of one site with no answer from any between them say more than as many at one host. Bad news
of one site says nothing of another, and an answer from any host of a site clears it."""

from __future__ import annotations

from typing import Any

LEAST_HOSTS = 6  # of a site; of fewer the hosts themselves tell as fast
PARTS = (1.0, 0.7, 0.25, 0.08)  # of what it would get, by how many of its hosts failed since its last answer
LEAST_PART = 0.04  # goes on as trials: over all gateways a returning site is found in a fraction of a second
FADE = 2.0  # s after which half of what is known has faded, so that a false alarm ends by itself


class Site:
    __slots__ = ("hosts", "failed", "at", "since")

    def __init__(self) -> None:
        self.hosts = 0  # that are up by the list
        self.failed: set[str] = set()  # since its last answer
        self.at = self.since = 0.0  # of its last failure; of the first of them


class ZoneHealth:
    def __init__(self) -> None:
        self.known: dict[str, Site] = {}
        self.left: frozenset[str] = frozenset()  # by the operator's word
        self.doubted = 0  # sites with a failure since their last answer; 0 costs nothing

    def listed(self, zones: list[str]) -> None:
        """The zone of each host that is up."""
        for site in self.known.values():
            site.hosts = 0
        for zone in zones:
            self.known.setdefault(zone, Site()).hosts += 1
        # One without hosts is never answered for: what is known of it would stay, and be told, for good.
        self.known = {zone: site for zone, site in self.known.items() if site.hosts}
        self.doubted = sum(bool(site.failed) for site in self.known.values())

    def answered(self, zone: str) -> None:
        """A host there gave any answer at all."""
        if self.doubted and (site := self.known.get(zone)) is not None and site.failed:
            site.failed.clear()
            self.doubted -= 1

    def silent(self, zone: str, host: str, now: float) -> None:
        """No connection to a host there came up, or an attempt there has said nothing for too long."""
        site = self.known.get(zone)
        if site is None or site.hosts < LEAST_HOSTS:
            return
        if not site.failed:
            self.doubted += 1
            site.since = now
        elif now - site.at > 4 * FADE:  # what is known of before has faded
            site.failed.clear()
            site.since = now
        site.failed.add(host)
        site.at = now

    def on_result(self, zone: str, host: str, result: str, now: float) -> None:
        """Take up the result of an attempt; a reset may come from the host as well as from the way there."""
        if result == "connect_failed":
            self.silent(zone, host, now)
        elif result in ("error", "full", "ok"):
            self.answered(zone)

    def part(self, zone: str, now: float) -> float:
        """Of what its hosts would get, 0 to 1."""
        site = self.known.get(zone)
        if site is None or not site.failed:
            return 1.0
        count = len(site.failed)
        low = PARTS[count] if count < len(PARTS) else LEAST_PART
        faded: float = 0.5 ** (max(0.0, now - site.at) / FADE)
        return 1.0 - (1.0 - low) * faded

    def told(self, now: float) -> dict[str, dict[str, Any]]:
        """Of each site with a failure since its last answer: how many of its hosts failed, for how many
        seconds that has been so, and what part it gets. For operators."""
        return {
            zone: {
                "silent": len(site.failed),
                "hosts": site.hosts,
                "for": round(now - site.since, 3),
                "part": round(self.part(zone, now), 3),
            }
            for zone, site in self.known.items()
            if site.failed
        }

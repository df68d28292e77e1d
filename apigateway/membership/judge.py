"""A belief at work: news in, changes out, and the clock that ends its doubts. Shared by sources whose lists
may lie."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace

from apigateway.membership.belief import Belief, Entry, Trust
from apigateway.membership.listing import Listing

LEAST = 0.01  # s between two looks at what time has changed


class Judge:
    """`told` gets what changed in what is believed. A belief from before goes on, with its doubts and its
    age."""

    def __init__(
        self,
        trust: Trust,
        known: Listing,
        told: Callable[[Listing], None],
        clock: Callable[[], float],
        belief: Belief | None = None,
    ) -> None:
        self.told, self.clock = told, clock
        self.belief = belief or Belief(trust)
        self.belief.trust = trust
        if belief is None:
            self.belief.start(clock(), known)
        self.timer: asyncio.TimerHandle | None = None

    def hear(self, entries: Iterable[Entry], gone: Collection[str] = (), whole: bool = False) -> None:
        self.tell(self.belief.hear(self.clock(), entries, gone, whole))

    def hear_listing(self, listing: Listing) -> None:
        """A list in the shape that the platform's discovery ends in."""
        entries = [
            Entry(host, listing.addresses[host.id])
            for host in listing.hosts.endpoints
            if host.id in listing.addresses and host.state != "down"
        ]
        gone = {host.id for host in listing.hosts.endpoints if host.state == "down"}
        self.hear(entries, gone, listing.hosts.mode != "delta")

    def drain(self, ids: Iterable[str]) -> None:
        """Another process of this gateway was told that these drain, and this one not yet."""
        known = [self.belief.known[id].entry for id in ids if id in self.belief.known]
        self.hear([replace(entry, host=replace(entry.host, state="leaving"), stamp=0) for entry in known])

    def tell(self, changed: Listing | None) -> None:
        if changed is not None:
            self.told(changed)
        self.close()
        due = self.belief.next()
        if due < math.inf:
            delay = max(LEAST, due - self.clock())
            self.timer = asyncio.get_running_loop().call_later(delay, self.tick)

    def tick(self) -> None:
        self.tell(self.belief.tick(self.clock()))

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

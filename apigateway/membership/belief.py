"""What to believe of a list of hosts: pure, and the same for every source. No clock, no I/O.

A registry goes silent, comes back empty, contradicts itself. Membership is where a gateway is easiest put out
of work by one wrong answer, so:

- What is *marked* (down, out of service, deleted) counts at once. That is the instant at which a host counts
as told
  for the drain rule.
- What is merely *missing* counts at once if few are. If most are, it is doubted: the hosts stay, until they
have been
  missing for `doubt_time` and in a second look. They count as told when the doubt ends. Where that hurts: if
  most hosts really went without a mark, attempts go on to them for as long; the decision module, which judges
  hosts by their answers, goes round those that do not answer.
- A list is never emptied: the last hosts that were known stay, with their age, until some other is named.
- Older news of a host (by its own stamp, from a replica that lags or a clock that went back) may drain it but
not
  bring it back, until it has been told unchanged for `doubt_time`.
- A host that flaps goes down at once and comes back once it has been calm for `calm_time`.
- A host under another id at the same address takes the place of one that is missing.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from apigateway import messages
from apigateway.membership.listing import Listing
from apigateway.upstream.address import Address

RANK = {"up": 0, "leaving": 1, "down": 2}


@dataclass(frozen=True, slots=True)
class Trust:
    """Times in seconds."""

    doubt_share: float = 0.34  # of the hosts; when more go missing at once, they are doubted
    doubt_time: float = 30.0
    looks: int = 2  # lists without a host, before a doubted one is taken for gone
    flaps: int = 3  # falls within flap_time, from which a host is taken to flap
    flap_time: float = 60.0
    calm_time: float = 10.0


@dataclass(frozen=True, slots=True)
class Entry:
    """A host as a source tells it. `stamp` orders news of one host (milliseconds of whatever clock; 0: no
    order)."""

    host: messages.Endpoint
    address: Address
    stamp: int = 0


@dataclass(slots=True)
class Known:
    """What is believed of one host, and why."""

    entry: Entry  # as it is believed
    told: Entry  # as it was last told
    since: float  # of its state
    start: float = 0.0  # when it started, as it was told
    missing_since: float = math.inf
    looks: int = 0  # lists that it was missing in
    older_since: float = math.inf  # older news that contradicts what is believed
    falls: deque[float] = field(default_factory=deque)  # when it went from up
    calm_at: float = 0.0  # it may come back from then on

    @property
    def doubt(self) -> str:
        """Why what is believed is not what was told; empty where it is."""
        if self.missing_since < math.inf:
            return "missing"
        if self.older_since < math.inf:
            return "older news"
        return "flapping" if self.entry.host.state != self.told.host.state else ""


class Belief:
    """What news costs grows with the news, and with the hosts in doubt; only whole lists look at all
    hosts."""

    def __init__(self, trust: Trust | None = None) -> None:
        self.trust = trust or Trust()
        self.known: dict[str, Known] = {}
        self.doubted: set[str] = set()  # ids with a doubt
        self.before: dict[str, Entry | None] = {}  # what was believed of what is touched in this turn
        self.version = 0
        self.heard_at = -math.inf  # when a source last told anything

    # In

    def start(self, now: float, listing: Listing) -> None:
        """A list from before: from another source, another process, a file. It is believed till told
        otherwise."""
        for host in listing.hosts.endpoints:
            if host.id in listing.addresses and host.state != "down":
                entry = Entry(host, listing.addresses[host.id])
                self.known.setdefault(host.id, Known(entry, entry, now))
        self.version = max(self.version, listing.hosts.version)

    def hear(
        self, now: float, entries: Iterable[Entry], gone: Collection[str] = (), whole: bool = False
    ) -> Listing | None:
        """News of some hosts, or with `whole` of all there are; `gone` were deleted by name. Returns what
        changed in what is believed, as a delta, or None."""
        self.heard_at = now
        named = alone(entries)
        for id in gone:
            if id not in named:
                self.drop(id)
        taken = {entry.address for entry in named.values()}
        for id in list(self.known if whole else self.doubted):
            if id not in named and self.known[id].entry.address in taken:
                self.drop(id)  # the same host under another id
        for entry in named.values():
            self.told(now, entry)
        if whole:
            self.miss(now, [id for id in self.known if id not in named])
        self.settle(now)
        return self.change()

    def tick(self, now: float) -> Listing | None:
        """What has changed by time alone."""
        self.settle(now)
        return self.change()

    def next(self) -> float:
        """When `tick` has something to do; infinity: not before there is news."""
        trust, times = self.trust, [math.inf]
        ready = [id for id in self.doubted if self.known[id].looks >= trust.looks]
        for id in self.doubted:
            known = self.known[id]
            if known.doubt == "flapping":
                times.append(known.calm_at)
            elif known.looks >= trust.looks and len(ready) < len(self.known):  # else only news can help
                times.append(known.missing_since + trust.doubt_time)
        return min(times)

    # What news makes of what was known

    def touch(self, id: str) -> None:
        known = self.known.get(id)
        self.before.setdefault(id, known.entry if known is not None else None)

    def drop(self, id: str) -> None:
        self.touch(id)
        self.known.pop(id, None)
        self.doubted.discard(id)

    def told(self, now: float, entry: Entry) -> None:
        id, start = entry.host.id, entry.host.started_at
        known = self.known.get(id)
        # a clock that is ahead would keep it cold for ever: it started when this was first told
        if start > now:
            seen = known.told.host.started_at if known is not None and known.start == start else now
            entry = replace(entry, host=replace(entry.host, started_at=seen))
        if known is not None and known.told == entry and id not in self.doubted:
            return
        self.touch(id)
        if known is None:
            self.known[id] = Known(entry, entry, now, start)
            return
        known.start = start
        known.missing_since, known.looks = math.inf, 0
        worse = RANK[entry.host.state] > RANK[known.entry.host.state]
        older = 0 < entry.stamp < known.told.stamp and not worse and not same(entry, known.entry)
        known.older_since = min(known.older_since, now) if older else math.inf
        if not older or now - known.older_since >= self.trust.doubt_time:
            known.older_since = math.inf
            known.told = entry
            self.follow(now, known)
        self.weigh(id, known)

    def weigh(self, id: str, known: Known) -> None:
        if known.doubt:
            self.doubted.add(id)
        else:
            self.doubted.discard(id)

    def follow(self, now: float, known: Known) -> None:
        """What was told is believed, unless the host flaps."""
        told, state = known.told, known.entry.host.state
        if state == "up" and told.host.state != "up":
            known.falls.append(now)
        while known.falls and known.falls[0] <= now - self.trust.flap_time:
            known.falls.popleft()
        if state != "up" and told.host.state == "up" and len(known.falls) >= self.trust.flaps:
            known.calm_at = known.falls[-1] + self.trust.calm_time
            if now < known.calm_at:
                known.entry = replace(told, host=replace(told.host, state=state))
                return
        if told.host.state != state:
            known.since = now
        known.entry = told

    def miss(self, now: float, missing: list[str]) -> None:
        """Hosts that a whole list does not name."""
        few = len(missing) <= self.trust.doubt_share * len(self.known)
        for id in missing:
            known = self.known[id]
            if few and known.missing_since == math.inf:
                self.drop(id)
                continue
            known.missing_since = min(known.missing_since, now)
            known.looks += 1
            self.doubted.add(id)

    def settle(self, now: float) -> None:
        """What time has confirmed: hosts missing for long enough go, calm ones come back."""
        trust = self.trust
        gone = [
            id
            for id in self.doubted
            if (known := self.known[id]).looks >= trust.looks
            and now - known.missing_since >= trust.doubt_time
        ]
        if len(gone) < len(self.known):  # a list is never emptied
            for id in gone:
                self.drop(id)
        for id in list(self.doubted):
            known = self.known[id]
            if known.doubt == "flapping" and now >= known.calm_at:
                self.touch(id)
                self.follow(now, known)
                self.weigh(id, known)

    # Out

    def change(self) -> Listing | None:
        """What is believed now and was not before."""
        before, self.before = self.before, {}
        hosts, addresses = [], {}
        for id, was in before.items():
            known = self.known.get(id)
            if known is None:
                if was is not None:
                    hosts.append(replace(was.host, state="down"))
            elif not same(was, known.entry):
                hosts.append(known.entry.host)
                addresses[id] = known.entry.address
        if not hosts:
            return None
        self.version += 1
        return Listing(messages.EndpointList("delta", self.version, tuple(hosts)), addresses)


def alone(entries: Iterable[Entry]) -> dict[str, Entry]:
    """One id an address: of two, the one with the latest news. Else a host under two ids would get twice its
    part."""
    best: dict[Address, Entry] = {}
    for entry in entries:
        other = best.get(entry.address)
        if other is None or entry.stamp >= other.stamp:
            best[entry.address] = entry
    return {entry.host.id: entry for entry in best.values()}


def same(one: Entry | None, other: Entry | None) -> bool:
    """But for their stamps."""
    return one is not None and other is not None and (one.host, one.address) == (other.host, other.address)

"""A gateway's copy of a registry: whole lists and deltas in, instances out, and when a whole list is worth
asking for. Pure: no clock, no I/O.

A delta tells what changed lately (Netflix's server: the last three minutes) and the hash that the whole
registry has after it, `UP_3_DOWN_1_`. Deltas overlap, so one that was applied before changes nothing. A hash
that differs means that something was missed, or that the registry's hash does not fit its own list (a replica
that lags, an odd instance): then a whole list heals the first, and would be fetched at every poll for the
second.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from apigateway.membership.eureka.model import EurekaInstance

# s between whole lists that a hash asks for, doubling while they do not help
WHOLE_LEAST, WHOLE_MOST = 30.0, 600.0


def hashcode(instances: Iterable[EurekaInstance]) -> str:
    """Netflix's apps__hashcode: each status and how many have it, in the order of the alphabet."""
    counts = Counter(instance.status for instance in instances)
    return "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))


class RegistryCache:
    def __init__(self) -> None:
        self.instances: dict[tuple[str, str], EurekaInstance] = {}
        self.counts: Counter[str] = Counter()
        self.known = False  # it has had a whole list
        self.pause = WHOLE_LEAST
        self.whole_at = 0.0  # not before then does a hash ask for a whole list

    def replace_all(self, now: float, instances: Iterable[EurekaInstance], told: str) -> None:
        """A whole list takes the place of all that there is."""
        self.instances = {(i.app, i.id): i for i in instances}
        self.counts = Counter(i.status for i in self.instances.values())
        self.known = True
        if told and told != self.hashcode():  # it does not fit even its own list: ask for it ever more seldom
            self.pause = min(WHOLE_MOST, 2 * self.pause)
        elif told:
            self.pause = WHOLE_LEAST
        self.whole_at = now + self.pause

    def on_not_modified(self, now: float) -> None:
        """A whole list was asked for and is still the last one: if the hash differs, that did not help."""
        self.pause = min(WHOLE_MOST, 2 * self.pause)
        self.whole_at = now + self.pause

    def hashcode(self) -> str:
        return "".join(f"{status}_{count}_" for status, count in sorted(self.counts.items()) if count)

    def apply_delta(
        self, now: float, instances: Iterable[EurekaInstance], told: str
    ) -> tuple[set[str], bool]:
        """Applies a delta. Returns the ids that were deleted by name, and whether a whole list is to be
        fetched."""
        deleted = set()
        for instance in instances:
            key = (instance.app, instance.id)
            old = self.instances.pop(key, None)
            if old is not None:
                self.counts[old.status] -= 1
            if instance.action == "DELETED":
                deleted.add(instance.id)
            else:
                deleted.discard(instance.id)
                self.instances[key] = instance
                self.counts[instance.status] += 1
        differs = bool(told) and told != self.hashcode()
        if not differs and told:
            self.pause = WHOLE_LEAST
        return deleted, differs and now >= self.whole_at

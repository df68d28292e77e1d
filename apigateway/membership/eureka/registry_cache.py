"""A gateway's cached copy of a registry. Pure: no clock, no I/O.

Complete lists and deltas come in; out come the instances, and whether a complete list should be fetched.

A delta reports what changed lately (Netflix's server: the last three minutes) and the hash that the whole
registry has after it, `UP_3_DOWN_1_`. Deltas overlap, so one that was applied before changes nothing. A hash
that differs means that something was missed, or that the registry's hash does not fit its own list (a replica
that lags, a malformed instance): a complete list mends the first, and would be fetched at every poll for the
second.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from apigateway.membership.eureka.model import DeltaAction, EurekaInstance

# Between complete lists that a hash asks for; doubles while they do not help
MIN_COMPLETE_INTERVAL_S = 30.0
MAX_COMPLETE_INTERVAL_S = 600.0


class DeltaResult(NamedTuple):
    """What a delta came to."""

    deleted_ids: set[str]  # deleted by name
    needs_complete_list: bool


def hashcode(instances: Iterable[EurekaInstance]) -> str:
    """Return Netflix's apps__hashcode: each status and how many have it, in alphabetical order."""
    return _format_hashcode(Counter(instance.status for instance in instances))


class RegistryCache:
    """The instances of a registry, as complete lists and deltas report them."""

    def __init__(self) -> None:
        self.instances: dict[tuple[str, str], EurekaInstance] = {}  # by app and id
        self.is_filled = False  # from a complete list
        self._status_counts: Counter[str] = Counter()
        self._complete_interval = MIN_COMPLETE_INTERVAL_S
        self._complete_due_at = 0.0  # not before then does a hash ask for a complete list

    def hashcode(self) -> str:
        """Return the hash of the cached instances."""
        return _format_hashcode(self._status_counts)

    def replace_all(self, now: float, instances: Iterable[EurekaInstance], reported_hashcode: str) -> None:
        """Replace all instances by a complete list. `now` in seconds."""
        self.instances = {(instance.app, instance.id): instance for instance in instances}
        self._status_counts = Counter(instance.status for instance in self.instances.values())
        self.is_filled = True
        if reported_hashcode and reported_hashcode != self.hashcode():
            self._double_interval()  # it does not fit even its own list
        elif reported_hashcode:
            self._complete_interval = MIN_COMPLETE_INTERVAL_S
        self._complete_due_at = now + self._complete_interval

    def on_not_modified(self, now: float) -> None:
        """Record that a complete list was requested in vain: it is still the last one. `now` in seconds."""
        self._double_interval()
        self._complete_due_at = now + self._complete_interval

    def apply_delta(
        self, now: float, instances: Iterable[EurekaInstance], reported_hashcode: str
    ) -> DeltaResult:
        """Apply a delta. `now` in seconds."""
        deleted_ids: set[str] = set()
        for instance in instances:
            key = (instance.app, instance.id)
            replaced = self.instances.pop(key, None)
            if replaced is not None:
                self._status_counts[replaced.status] -= 1
            if instance.action == DeltaAction.DELETED:
                deleted_ids.add(instance.id)
            else:
                deleted_ids.discard(instance.id)
                self.instances[key] = instance
                self._status_counts[instance.status] += 1
        differs = bool(reported_hashcode) and reported_hashcode != self.hashcode()
        if not differs and reported_hashcode:
            self._complete_interval = MIN_COMPLETE_INTERVAL_S
        return DeltaResult(deleted_ids, differs and now >= self._complete_due_at)

    def _double_interval(self) -> None:
        self._complete_interval = min(MAX_COMPLETE_INTERVAL_S, 2 * self._complete_interval)


def _format_hashcode(status_counts: Mapping[str, int]) -> str:
    return "".join(f"{status}_{count}_" for status, count in sorted(status_counts.items()) if count)

"""A gateway's cached copy of a registry. Pure: no clock, no I/O.

The cache applies complete lists and deltas, and reports when a complete list should be requested.

A delta contains the recent changes (Netflix's server: those of the last three minutes) and the hash of the
whole registry after them, such as `UP_3_DOWN_1_`. Deltas overlap, so applying a change again has no effect. A
hash mismatch means that a change was missed, or that the registry's hash does not match its own list (a
replica that lags, a malformed instance). A complete list resolves the first case. In the second case it would
be requested at every poll, so the interval between such requests doubles while they do not help.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from apigateway.membership.eureka.model import DeltaAction, EurekaInstance

# Interval between complete lists that are requested because of a hash mismatch
MIN_COMPLETE_INTERVAL_S = 30.0
MAX_COMPLETE_INTERVAL_S = 600.0


class DeltaResult(NamedTuple):
    """The result of applying a delta."""

    deleted_ids: set[str]  # of instances that the delta deletes
    needs_complete_list: bool


def hashcode(instances: Iterable[EurekaInstance]) -> str:
    """Return Netflix's apps__hashcode: the number of instances by status, in alphabetical order."""
    return _format_hashcode(Counter(instance.status for instance in instances))


class RegistryCache:
    """The instances of a registry according to the last complete list and the deltas since."""

    def __init__(self) -> None:
        self.instances: dict[tuple[str, str], EurekaInstance] = {}  # by app and id
        self.has_complete_list = False
        self._status_counts: Counter[str] = Counter()
        self._complete_interval_s = MIN_COMPLETE_INTERVAL_S
        self._complete_due_at = 0.0  # a hash mismatch before then does not lead to a complete list

    def hashcode(self) -> str:
        """Return the hash of the cached instances."""
        return _format_hashcode(self._status_counts)

    def replace_all(self, now: float, instances: Iterable[EurekaInstance], reported_hashcode: str) -> None:
        """Replace all instances by those of a complete list. `now` is in seconds."""
        self.instances = {(instance.app, instance.id): instance for instance in instances}
        self._status_counts = Counter(instance.status for instance in self.instances.values())
        self.has_complete_list = True
        if reported_hashcode and reported_hashcode != self.hashcode():
            self._double_interval()  # the hash does not match the list that it came with
        elif reported_hashcode:
            self._complete_interval_s = MIN_COMPLETE_INTERVAL_S
        self._complete_due_at = now + self._complete_interval_s

    def on_not_modified(self, now: float) -> None:
        """Record that a requested complete list had not changed. `now` is in seconds."""
        self._double_interval()
        self._complete_due_at = now + self._complete_interval_s

    def apply_delta(
        self, now: float, instances: Iterable[EurekaInstance], reported_hashcode: str
    ) -> DeltaResult:
        """Apply a delta. `now` is in seconds."""
        deleted_ids: set[str] = set()
        for instance in instances:
            key = (instance.app, instance.id)
            previous = self.instances.pop(key, None)
            if previous is not None:
                self._status_counts[previous.status] -= 1
            if instance.action == DeltaAction.DELETED:
                deleted_ids.add(instance.id)
            else:
                deleted_ids.discard(instance.id)
                self.instances[key] = instance
                self._status_counts[instance.status] += 1
        has_hash_mismatch = bool(reported_hashcode) and reported_hashcode != self.hashcode()
        if not has_hash_mismatch and reported_hashcode:
            self._complete_interval_s = MIN_COMPLETE_INTERVAL_S
        return DeltaResult(deleted_ids, has_hash_mismatch and now >= self._complete_due_at)

    def _double_interval(self) -> None:
        self._complete_interval_s = min(MAX_COMPLETE_INTERVAL_S, 2 * self._complete_interval_s)


def _format_hashcode(status_counts: Mapping[str, int]) -> str:
    return "".join(f"{status}_{count}_" for status, count in sorted(status_counts.items()) if count)

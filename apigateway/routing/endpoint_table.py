"""Items by id, of which some are gone and are still remembered for a while."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from typing import Protocol, TypeVar

from apigateway.messages import Endpoint, EndpointStatus


class Listed(Protocol):
    """An item of the table."""

    host: Endpoint  # as it was listed last
    is_up: bool
    gone_at: float  # s; inf: it is not gone


Item = TypeVar("Item", bound=Listed)


class EndpointTable(dict[str, Item]):
    """Items by id, in the order in which they were first listed."""

    def apply_list(
        self,
        now: float,
        hosts: Collection[Endpoint],
        is_complete: bool,
        make: Callable[[Endpoint, Item | None], Item],
    ) -> None:
        """Take up a list.

        Args:
            now: the time.
            hosts: what is listed.
            is_complete: whether what is not listed is gone.
            make: returns a new item, for a host that is new or has started anew since its item was made.
        """
        if is_complete:
            self._mark_gone(now, {host.id for host in hosts})
        for host in hosts:
            item = self.get(host.id)
            if item is None or (host.is_up and host.started_at > item.host.started_at):
                item = make(host, item)
                self[host.id] = item
            else:
                item.host = host
                item.is_up = host.is_up
            item.gone_at = min(item.gone_at, now) if host.state == EndpointStatus.DOWN else math.inf

    def _mark_gone(self, now: float, listed: set[str]) -> None:
        for name, item in self.items():
            if name not in listed:
                item.is_up = False
                item.gone_at = min(item.gone_at, now)

    def gone_longer_than(self, now: float, seconds: float) -> list[Item]:
        """Return the items that have been gone for longer than that."""
        return [item for item in self.values() if now - item.gone_at > seconds]

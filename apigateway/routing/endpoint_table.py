"""A table of endpoints by id, which keeps an endpoint for some time after it is gone."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from typing import Protocol, TypeVar

from apigateway.messages import Endpoint, EndpointStatus


class TableItem(Protocol):
    """What the table stores for an endpoint."""

    host: Endpoint  # as in the latest endpoint list
    is_up: bool
    gone_at: float  # s; inf: not gone


Item = TypeVar("Item", bound=TableItem)


class EndpointTable(dict[str, Item]):
    """Items by endpoint id, in the order in which they were first listed."""

    def apply_list(
        self,
        now: float,
        hosts: Collection[Endpoint],
        is_complete: bool,
        create: Callable[[Endpoint, Item | None], Item],
    ) -> None:
        """Update the table from an endpoint list.

        Args:
            now: the time.
            hosts: the listed endpoints.
            is_complete: whether endpoints that are not listed are gone.
            create: returns an item for an endpoint that is new or has restarted, given its old item if any.
        """
        if is_complete:
            self._mark_gone(now, {host.id for host in hosts})
        for host in hosts:
            item = self.get(host.id)
            if item is None or (host.is_up and host.started_at > item.host.started_at):
                item = create(host, item)
                self[host.id] = item
            else:
                item.host = host
                item.is_up = host.is_up
            item.gone_at = min(item.gone_at, now) if host.state == EndpointStatus.DOWN else math.inf

    def _mark_gone(self, now: float, listed_ids: set[str]) -> None:
        for endpoint_id, item in self.items():
            if endpoint_id not in listed_ids:
                item.is_up = False
                item.gone_at = min(item.gone_at, now)

    def gone_longer_than(self, now: float, seconds: float) -> list[Item]:
        """Return the items that have been gone for more than `seconds`."""
        return [item for item in self.values() if now - item.gone_at > seconds]

"""Drive a reconciler: apply reports, publish changes, and run the timer that ends doubts.

Shared by all sources whose lists are not accepted as they come.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace

from apigateway.membership.listing import EndpointListing
from apigateway.membership.reconciler import EndpointReconciler, ReconcilerSettings, ReportedEndpoint
from apigateway.messages import EndpointStatus, ListMode

MIN_TIMER_DELAY_S = 0.01  # a timer that comes a little early must not become a busy loop


class ReconcilerDriver:
    """Feed a source's reports to a reconciler, and its changes to `on_change`.

    Args:
        settings: of the reconciler, also of one that is passed.
        known: the last list; a new reconciler starts with it.
        on_change: called with each change of what is accepted, as a delta.
        clock: the time, in seconds.
        reconciler: one to go on with, with its doubts and its age.
    """

    def __init__(
        self,
        settings: ReconcilerSettings,
        known: EndpointListing,
        on_change: Callable[[EndpointListing], None],
        clock: Callable[[], float],
        reconciler: EndpointReconciler | None = None,
    ) -> None:
        self._on_change = on_change
        self._clock = clock
        self._timer: asyncio.TimerHandle | None = None
        self.reconciler = reconciler or EndpointReconciler(settings)
        self.reconciler.settings = settings
        if reconciler is None:
            self.reconciler.restore(clock(), known)

    def apply(
        self,
        reported: Iterable[ReportedEndpoint],
        deleted: Collection[str] = (),
        is_complete: bool = False,
    ) -> None:
        """Apply a report; the arguments are those of `EndpointReconciler.apply`."""
        self._publish(self.reconciler.apply(self._clock(), reported, deleted, is_complete))

    def apply_listing(self, listing: EndpointListing) -> None:
        """Apply a report in the form of the platform's discovery."""
        endpoints = listing.endpoint_list.endpoints
        reported = [
            ReportedEndpoint(endpoint, listing.addresses[endpoint.id])
            for endpoint in endpoints
            if endpoint.id in listing.addresses and endpoint.state != EndpointStatus.DOWN
        ]
        deleted = {endpoint.id for endpoint in endpoints if endpoint.state == EndpointStatus.DOWN}
        self.apply(reported, deleted, listing.endpoint_list.mode != ListMode.DELTA)

    def mark_draining(self, ids: Iterable[str]) -> None:
        """Drain endpoints of which another process of this gateway was notified, and this one not yet."""
        records = self.reconciler.records
        accepted = [records[name].accepted for name in ids if name in records]
        self.apply([_draining(report) for report in accepted])

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _publish(self, change: EndpointListing | None) -> None:
        if change is not None:
            self._on_change(change)
        self.close()
        due = self.reconciler.next_due()
        if due < math.inf:
            delay = max(MIN_TIMER_DELAY_S, due - self._clock())
            self._timer = asyncio.get_running_loop().call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._publish(self.reconciler.advance(self._clock()))


def _draining(report: ReportedEndpoint) -> ReportedEndpoint:
    return replace(report, endpoint=replace(report.endpoint, state=EndpointStatus.DRAINING), stamp=0)

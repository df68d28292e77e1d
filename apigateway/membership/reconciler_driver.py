"""Run a reconciler: apply reports, publish changes, and keep the timer that resolves doubts.

Used by all sources whose lists must pass the reconciler before they are accepted.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace

from apigateway.membership.listing import EndpointListing
from apigateway.membership.reconciler import EndpointReconciler, ReconcilerSettings, ReportedEndpoint
from apigateway.messages import EndpointStatus, ListMode

MIN_TIMER_DELAY_S = 0.01  # prevents a busy loop when the timer fires slightly early


class ReconcilerDriver:
    """Passes a source's reports to a reconciler and the resulting changes to `on_change`.

    Args:
        settings: the reconciler's settings; they also replace those of a reconciler that is passed.
        known: the last known list; a new reconciler starts with it.
        on_change: called with each change of the accepted list, as a delta.
        clock: returns the time in seconds.
        reconciler: the reconciler of an earlier source, to continue with its doubts and its age.
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
        """Apply a report that has the form of a discovery list."""
        endpoints = listing.endpoint_list.endpoints
        reported = [
            ReportedEndpoint(endpoint, listing.addresses[endpoint.id])
            for endpoint in endpoints
            if endpoint.id in listing.addresses and endpoint.state != EndpointStatus.DOWN
        ]
        deleted = {endpoint.id for endpoint in endpoints if endpoint.state == EndpointStatus.DOWN}
        self.apply(reported, deleted, listing.endpoint_list.mode != ListMode.DELTA)

    def mark_draining(self, ids: Iterable[str]) -> None:
        """Drain endpoints whose drain was reported only to another process of this gateway so far."""
        records = self.reconciler.records
        accepted = [records[endpoint_id].accepted for endpoint_id in ids if endpoint_id in records]
        self.apply([_as_draining(report) for report in accepted])

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _publish(self, change: EndpointListing | None) -> None:
        if change is not None:
            self._on_change(change)
        self.close()
        due_at = self.reconciler.next_due_at()
        if due_at < math.inf:
            delay = max(MIN_TIMER_DELAY_S, due_at - self._clock())
            self._timer = asyncio.get_running_loop().call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._publish(self.reconciler.advance(self._clock()))


def _as_draining(report: ReportedEndpoint) -> ReportedEndpoint:
    return replace(report, endpoint=replace(report.endpoint, state=EndpointStatus.DRAINING), timestamp_ms=0)

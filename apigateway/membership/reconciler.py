"""Decide what to accept of reported endpoint lists: pure, and the same for every source. No clock, no I/O.

A registry goes silent, comes back empty, contradicts itself. Membership is where a gateway is easiest put out
of service by one wrong answer, so:

- What is *marked* (down, out of service, deleted) counts at once. For the drain rule, that is the instant at
  which the gateway was notified.
- What is merely *missing* counts at once if few endpoints are. If many are, they are in doubt: the endpoints
  stay until they have been missing for `doubt_time` and from `looks` lists. For the drain rule, the gateway
  is notified when the doubt ends. The cost: if most endpoints really went without a mark, attempts go on to
  them for as long; the decision module, which judges endpoints by their answers, avoids those that do not
  answer.
- A list is never emptied: the last known endpoints stay, with their age, until some other is named.
- An older report on an endpoint (by its own stamp, from a replica that lags or a clock that went back) may
  drain it but not bring it back, until it has been reported unchanged for `doubt_time`.
- An endpoint that flaps goes down at once and comes back once it has been stable for `calm_time`.
- An endpoint under another id at the same address replaces one that is missing.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from apigateway import messages
from apigateway.membership.listing import EndpointListing
from apigateway.messages import EndpointStatus, ListMode
from apigateway.upstream.address import Address

# Of an endpoint's state: a higher one is worse.
_SEVERITY = {EndpointStatus.UP: 0, EndpointStatus.DRAINING: 1, EndpointStatus.DOWN: 2}


class Doubt(StrEnum):
    """Why the accepted state of an endpoint is not the reported one."""

    NONE = ""
    MISSING = "missing"
    OLDER_REPORT = "older news"
    FLAPPING = "flapping"


@dataclass(frozen=True, slots=True)
class ReconcilerSettings:
    """Limits of what is accepted at once. Named as the keys of the settings; times in seconds."""

    doubt_share: float = 0.34  # of the endpoints; when more go missing at once, they are in doubt
    doubt_time: float = 30.0
    looks: int = 2  # lists that an endpoint in doubt must be missing from before it is removed
    flaps: int = 3  # falls within flap_time, from which an endpoint counts as flapping
    flap_time: float = 60.0
    calm_time: float = 10.0


@dataclass(frozen=True, slots=True)
class ReportedEndpoint:
    """An endpoint as a source reports it.

    `stamp` orders the reports on one endpoint: milliseconds of whatever clock, 0 for no order.
    """

    endpoint: messages.Endpoint
    address: Address
    stamp: int = 0


@dataclass(slots=True)
class EndpointRecord:
    """What is accepted of one endpoint, and why. Times are the caller's clock, in seconds."""

    accepted: ReportedEndpoint
    reported: ReportedEndpoint  # the latest report
    state_since: float
    reported_start: float = 0.0  # the endpoint's start time, as it was reported
    missing_since: float = math.inf
    missed_lists: int = 0  # lists that it was missing from
    older_since: float = math.inf  # when an older report first contradicted what is accepted
    went_down_at: deque[float] = field(default_factory=deque)
    stable_at: float = 0.0  # it may come back from then on

    @property
    def doubt(self) -> Doubt:
        """Why what is accepted is not what was reported."""
        if self.missing_since < math.inf:
            return Doubt.MISSING
        if self.older_since < math.inf:
            return Doubt.OLDER_REPORT
        is_held_down = self.accepted.endpoint.state != self.reported.endpoint.state
        return Doubt.FLAPPING if is_held_down else Doubt.NONE


class EndpointReconciler:
    """Keeps the accepted endpoints up to date with what a source reports.

    The cost of a report grows with its size and with the endpoints in doubt; only a complete list visits all
    endpoints. A change comes out as a delta `EndpointListing`.
    """

    def __init__(self, settings: ReconcilerSettings | None = None) -> None:
        self.settings = settings or ReconcilerSettings()
        self.records: dict[str, EndpointRecord] = {}
        self.version = 0
        self.last_update_at = -math.inf  # when a source last reported anything
        self._doubtful: set[str] = set()  # ids in doubt
        self._accepted_before: dict[str, ReportedEndpoint | None] = {}  # of the ids touched by this update

    def restore(self, now: float, listing: EndpointListing) -> None:
        """Accept a list from another source, process or file, until it is reported otherwise."""
        for endpoint in listing.endpoint_list.endpoints:
            if endpoint.id in listing.addresses and endpoint.state != EndpointStatus.DOWN:
                reported = ReportedEndpoint(endpoint, listing.addresses[endpoint.id])
                self.records.setdefault(endpoint.id, EndpointRecord(reported, reported, now))
        self.version = max(self.version, listing.endpoint_list.version)

    def apply(
        self,
        now: float,
        reported: Iterable[ReportedEndpoint],
        deleted: Collection[str] = (),
        is_complete: bool = False,
    ) -> EndpointListing | None:
        """Apply a report on some endpoints, or with `is_complete` on all there are.

        Args:
            now: the time, in seconds.
            reported: the endpoints that the report names.
            deleted: ids that the report deletes by name.
            is_complete: whether an endpoint that is not named is missing.

        Returns:
            What changed in what is accepted, as a delta, or None.
        """
        self.last_update_at = now
        named = _latest_by_address(reported)
        for endpoint_id in deleted:
            if endpoint_id not in named:
                self._remove(endpoint_id)
        self._remove_replaced(named, is_complete)
        for report in named.values():
            self._apply_one(now, report)
        if is_complete:
            self._apply_missing(now, [name for name in self.records if name not in named])
        self._settle(now)
        return self._take_changes()

    def advance(self, now: float) -> EndpointListing | None:
        """Return what has changed by time alone, as a delta, or None."""
        self._settle(now)
        return self._take_changes()

    def next_due(self) -> float:
        """Return when `advance` has something to do; infinity: not before the next report."""
        settings = self.settings
        times = [math.inf]
        removable = sum(self.records[name].missed_lists >= settings.looks for name in self._doubtful)
        for endpoint_id in self._doubtful:
            record = self.records[endpoint_id]
            if record.doubt is Doubt.FLAPPING:
                times.append(record.stable_at)
            elif record.missed_lists >= settings.looks and removable < len(self.records):
                times.append(record.missing_since + settings.doubt_time)  # else only a report can help
        return min(times)

    # Applying reports

    def _touch(self, endpoint_id: str) -> None:
        """Keep what was accepted before this update, to tell what it changed."""
        record = self.records.get(endpoint_id)
        self._accepted_before.setdefault(endpoint_id, record.accepted if record is not None else None)

    def _remove(self, endpoint_id: str) -> None:
        self._touch(endpoint_id)
        self.records.pop(endpoint_id, None)
        self._doubtful.discard(endpoint_id)

    def _remove_replaced(self, named: dict[str, ReportedEndpoint], is_complete: bool) -> None:
        """Remove endpoints that are not named, and whose address is reported under another id."""
        reported_addresses = {report.address for report in named.values()}
        for endpoint_id in list(self.records if is_complete else self._doubtful):
            if endpoint_id in named:
                continue
            if self.records[endpoint_id].accepted.address in reported_addresses:
                self._remove(endpoint_id)

    def _apply_one(self, now: float, report: ReportedEndpoint) -> None:
        endpoint_id = report.endpoint.id
        reported_start = report.endpoint.started_at
        record = self.records.get(endpoint_id)
        if reported_start > now:
            report = _with_plausible_start(now, report, record)
        if record is not None and record.reported == report and endpoint_id not in self._doubtful:
            return
        self._touch(endpoint_id)
        if record is None:
            self.records[endpoint_id] = EndpointRecord(report, report, now, reported_start)
            return
        record.reported_start = reported_start
        record.missing_since = math.inf
        record.missed_lists = 0
        is_older = _is_contradicting_older_report(report, record)
        record.older_since = min(record.older_since, now) if is_older else math.inf
        if not is_older or now - record.older_since >= self.settings.doubt_time:
            record.older_since = math.inf
            record.reported = report
            self._accept(now, record)
        self._update_doubt(endpoint_id, record)

    def _update_doubt(self, endpoint_id: str, record: EndpointRecord) -> None:
        if record.doubt:
            self._doubtful.add(endpoint_id)
        else:
            self._doubtful.discard(endpoint_id)

    def _accept(self, now: float, record: EndpointRecord) -> None:
        """Accept what was reported, unless the endpoint flaps."""
        reported = record.reported
        reported_state = reported.endpoint.state
        state = record.accepted.endpoint.state
        falls = record.went_down_at
        was_up = state == EndpointStatus.UP
        is_up = reported_state == EndpointStatus.UP
        if was_up and not is_up:
            falls.append(now)
        while falls and falls[0] <= now - self.settings.flap_time:
            falls.popleft()
        if not was_up and is_up and len(falls) >= self.settings.flaps:
            record.stable_at = falls[-1] + self.settings.calm_time
            if now < record.stable_at:
                record.accepted = replace(reported, endpoint=replace(reported.endpoint, state=state))
                return
        if reported_state != state:
            record.state_since = now
        record.accepted = reported

    def _apply_missing(self, now: float, missing: list[str]) -> None:
        """Remove endpoints that a complete list does not name, or put them in doubt if they are many."""
        are_few = len(missing) <= self.settings.doubt_share * len(self.records)
        for endpoint_id in missing:
            record = self.records[endpoint_id]
            if are_few and record.missing_since == math.inf:
                self._remove(endpoint_id)
                continue
            record.missing_since = min(record.missing_since, now)
            record.missed_lists += 1
            self._doubtful.add(endpoint_id)

    def _settle(self, now: float) -> None:
        """End the doubts that time has confirmed: long missing endpoints go, stable ones come back."""
        confirmed = [name for name in self._doubtful if self._is_confirmed_missing(now, self.records[name])]
        if len(confirmed) < len(self.records):  # a list is never emptied
            for endpoint_id in confirmed:
                self._remove(endpoint_id)
        for endpoint_id in list(self._doubtful):
            record = self.records[endpoint_id]
            if record.doubt is Doubt.FLAPPING and now >= record.stable_at:
                self._touch(endpoint_id)
                self._accept(now, record)
                self._update_doubt(endpoint_id, record)

    def _is_confirmed_missing(self, now: float, record: EndpointRecord) -> bool:
        if record.missed_lists < self.settings.looks:
            return False
        return now - record.missing_since >= self.settings.doubt_time

    # Changes

    def _take_changes(self) -> EndpointListing | None:
        """Return what is accepted now and was not before this update."""
        accepted_before = self._accepted_before
        self._accepted_before = {}
        endpoints: list[messages.Endpoint] = []
        addresses: dict[str, Address] = {}
        for endpoint_id, before in accepted_before.items():
            record = self.records.get(endpoint_id)
            if record is None:
                if before is not None:
                    endpoints.append(replace(before.endpoint, state=EndpointStatus.DOWN))
            elif not _is_same_but_for_stamp(before, record.accepted):
                endpoints.append(record.accepted.endpoint)
                addresses[endpoint_id] = record.accepted.address
        if not endpoints:
            return None
        self.version += 1
        return EndpointListing(
            messages.EndpointList(ListMode.DELTA, self.version, tuple(endpoints)), addresses
        )


def _latest_by_address(reported: Iterable[ReportedEndpoint]) -> dict[str, ReportedEndpoint]:
    """Return one report for each address, the latest, by id.

    An endpoint under two ids would get twice its part of the load.
    """
    latest: dict[Address, ReportedEndpoint] = {}
    for report in reported:
        other = latest.get(report.address)
        if other is None or report.stamp >= other.stamp:
            latest[report.address] = report
    return {report.endpoint.id: report for report in latest.values()}


def _with_plausible_start(
    now: float, report: ReportedEndpoint, record: EndpointRecord | None
) -> ReportedEndpoint:
    """Return the report with the time of the first such report as its start time.

    A clock that is ahead would otherwise keep the endpoint in slow start for ever.
    """
    started_at = now
    if record is not None and record.reported_start == report.endpoint.started_at:
        started_at = record.reported.endpoint.started_at
    return replace(report, endpoint=replace(report.endpoint, started_at=started_at))


def _is_contradicting_older_report(report: ReportedEndpoint, record: EndpointRecord) -> bool:
    """Tell whether a report is older than the last, does not make the state worse, and changes something."""
    if not 0 < report.stamp < record.reported.stamp:
        return False
    accepted = record.accepted
    if _SEVERITY[report.endpoint.state] > _SEVERITY[accepted.endpoint.state]:
        return False
    return not _is_same_but_for_stamp(report, accepted)


def _is_same_but_for_stamp(one: ReportedEndpoint | None, other: ReportedEndpoint | None) -> bool:
    if one is None or other is None:
        return False
    return one.endpoint == other.endpoint and one.address == other.address

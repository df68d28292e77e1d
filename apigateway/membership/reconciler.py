"""Decide which parts of the reported endpoint lists to accept, by the same rules for every source.

The module is pure: it has no clock and does no I/O.

A registry can stop answering, return an empty list or contradict itself. A single wrong response could take a
gateway out of service by removing its endpoints, so these rules apply:

- An endpoint that is *marked* (down, out of service, deleted) changes its state at once. The drain rule, by
  which no attempt may be sent to an endpoint that has been draining for longer than `drain_grace`, counts
  from the moment at which the gateway received the mark.
- Endpoints that are merely *missing* from a list are removed at once if they are few. If they are many, they
  are in doubt: they stay until they have been missing for `doubt_time` and from `looks` lists. The drain rule
  counts from the end of the doubt. The cost: if most endpoints really disappeared without a mark, the gateway
  keeps sending attempts to them for that long. The decision module, which measures the health of endpoints by
  their answers, avoids those that do not answer.
- The accepted list never becomes empty: the last known endpoints stay, with their age, until the source
  reports another endpoint.
- An older report on an endpoint (by its own timestamp, from a replica that lags or a clock that was set back)
  may drain the endpoint but not bring it back, until it has been reported unchanged for `doubt_time`.
- An endpoint that flaps goes down at once and comes back once it has been stable for `calm_time`.
- An endpoint that is reported under a new id replaces a missing one at the same address.
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

# A higher severity is a worse state.
_SEVERITY_BY_STATE = {EndpointStatus.UP: 0, EndpointStatus.DRAINING: 1, EndpointStatus.DOWN: 2}


class DoubtReason(StrEnum):
    """Why the accepted state of an endpoint differs from the reported one."""

    NONE = ""
    MISSING = "missing"
    OLDER_REPORT = "older news"
    FLAPPING = "flapping"


@dataclass(frozen=True, slots=True)
class ReconcilerSettings:
    """Limits on the changes that are accepted at once. Fields are keys of the settings; times in seconds."""

    doubt_share: float = 0.34  # if a larger share of the endpoints goes missing at once, they are in doubt
    doubt_time: float = 30.0  # for which an endpoint in doubt must be missing before it is removed
    looks: int = 2  # lists that an endpoint in doubt must be missing from before it is removed
    flaps: int = 3  # drops from the up state within flap_time from which an endpoint counts as flapping
    flap_time: float = 60.0
    calm_time: float = 10.0  # for which a flapping endpoint must be stable before it comes back


@dataclass(frozen=True, slots=True)
class ReportedEndpoint:
    """An endpoint as a source reports it.

    `timestamp_ms` orders the reports on one endpoint. It may come from any clock; 0 means no order.
    """

    endpoint: messages.Endpoint
    address: Address
    timestamp_ms: int = 0


@dataclass(slots=True)
class EndpointRecord:
    """The accepted and the reported state of one endpoint. Times are by the caller's clock, in seconds."""

    accepted: ReportedEndpoint
    reported: ReportedEndpoint  # the latest report
    state_since: float
    reported_start: float = 0.0  # start time of the endpoint, as the source reported it
    missing_since: float = math.inf
    missed_lists: int = 0  # complete lists that did not contain the endpoint
    older_report_since: float = math.inf  # when an older report first contradicted the accepted state
    went_down_times: deque[float] = field(default_factory=deque)
    stable_at: float = 0.0  # when a flapping endpoint may come back

    @property
    def doubt(self) -> DoubtReason:
        """Return why the accepted state differs from the reported one."""
        if self.missing_since < math.inf:
            return DoubtReason.MISSING
        if self.older_report_since < math.inf:
            return DoubtReason.OLDER_REPORT
        is_held_down = self.accepted.endpoint.state != self.reported.endpoint.state
        return DoubtReason.FLAPPING if is_held_down else DoubtReason.NONE


class EndpointReconciler:
    """Keeps the accepted endpoints up to date with the reports of a source.

    The cost of a report grows with its size and with the number of endpoints in doubt; only a complete list
    visits all endpoints. Changes are returned as a delta `EndpointListing`.
    """

    def __init__(self, settings: ReconcilerSettings | None = None) -> None:
        self.settings = settings or ReconcilerSettings()
        self.records: dict[str, EndpointRecord] = {}
        self.version = 0
        self.last_update_at = -math.inf  # time of the last report
        self._ids_in_doubt: set[str] = set()
        # By id, for the endpoints that the current update touches.
        self._accepted_before: dict[str, ReportedEndpoint | None] = {}

    def restore(self, now: float, listing: EndpointListing) -> None:
        """Accept a list from another source, process or file until a report contradicts it."""
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
        """Apply a report on some endpoints, or on all of them if `is_complete` is set.

        Args:
            now: the time, in seconds.
            reported: the endpoints that the report contains.
            deleted: ids that the report marks as deleted.
            is_complete: whether endpoints that the report does not contain count as missing.

        Returns:
            The changes of the accepted list as a delta, or None if there are none.
        """
        self.last_update_at = now
        reports_by_id = _latest_by_address(reported)
        for endpoint_id in deleted:
            if endpoint_id not in reports_by_id:
                self._remove(endpoint_id)
        self._remove_replaced(reports_by_id, is_complete)
        for report in reports_by_id.values():
            self._apply_report(now, report)
        if is_complete:
            self._apply_missing(now, [known_id for known_id in self.records if known_id not in reports_by_id])
        self._resolve_doubts(now)
        return self._collect_changes()

    def advance(self, now: float) -> EndpointListing | None:
        """Apply the changes that are due by `now`; return them as a delta, or None if there are none."""
        self._resolve_doubts(now)
        return self._collect_changes()

    def next_due_at(self) -> float:
        """Return when `advance` must be called next; infinity if not before the next report."""
        settings = self.settings
        due_times = [math.inf]
        removable_count = sum(
            self.records[doubtful_id].missed_lists >= settings.looks for doubtful_id in self._ids_in_doubt
        )
        for endpoint_id in self._ids_in_doubt:
            record = self.records[endpoint_id]
            if record.doubt is DoubtReason.FLAPPING:
                due_times.append(record.stable_at)
            elif record.missed_lists >= settings.looks and removable_count < len(self.records):
                # If all are removable, they stay until the next report: the list must not become empty.
                due_times.append(record.missing_since + settings.doubt_time)
        return min(due_times)

    # Reports

    def _record_previous(self, endpoint_id: str) -> None:
        """Record the endpoint as accepted before this update, so that its changes can be collected."""
        record = self.records.get(endpoint_id)
        self._accepted_before.setdefault(endpoint_id, record.accepted if record is not None else None)

    def _remove(self, endpoint_id: str) -> None:
        self._record_previous(endpoint_id)
        self.records.pop(endpoint_id, None)
        self._ids_in_doubt.discard(endpoint_id)

    def _remove_replaced(self, reports_by_id: dict[str, ReportedEndpoint], is_complete: bool) -> None:
        """Remove endpoints that the report does not contain and whose address it lists under another id."""
        reported_addresses = {report.address for report in reports_by_id.values()}
        for endpoint_id in list(self.records if is_complete else self._ids_in_doubt):
            if endpoint_id in reports_by_id:
                continue
            if self.records[endpoint_id].accepted.address in reported_addresses:
                self._remove(endpoint_id)

    def _apply_report(self, now: float, report: ReportedEndpoint) -> None:
        endpoint_id = report.endpoint.id
        reported_start = report.endpoint.started_at
        record = self.records.get(endpoint_id)
        if reported_start > now:
            report = _with_plausible_start(now, report, record)
        if record is not None and record.reported == report and endpoint_id not in self._ids_in_doubt:
            return
        self._record_previous(endpoint_id)
        if record is None:
            self.records[endpoint_id] = EndpointRecord(report, report, now, reported_start)
            return
        record.reported_start = reported_start
        record.missing_since = math.inf
        record.missed_lists = 0
        is_older_report = _is_contradicting_older_report(report, record)
        record.older_report_since = min(record.older_report_since, now) if is_older_report else math.inf
        if not is_older_report or now - record.older_report_since >= self.settings.doubt_time:
            record.older_report_since = math.inf
            record.reported = report
            self._accept(now, record)
        self._update_doubt(endpoint_id, record)

    def _update_doubt(self, endpoint_id: str, record: EndpointRecord) -> None:
        if record.doubt:
            self._ids_in_doubt.add(endpoint_id)
        else:
            self._ids_in_doubt.discard(endpoint_id)

    def _accept(self, now: float, record: EndpointRecord) -> None:
        """Accept the reported state, unless the endpoint flaps."""
        reported = record.reported
        reported_state = reported.endpoint.state
        state = record.accepted.endpoint.state
        went_down_times = record.went_down_times
        was_up = state == EndpointStatus.UP
        is_up = reported_state == EndpointStatus.UP
        if was_up and not is_up:
            went_down_times.append(now)
        while went_down_times and went_down_times[0] <= now - self.settings.flap_time:
            went_down_times.popleft()
        if not was_up and is_up and len(went_down_times) >= self.settings.flaps:
            record.stable_at = went_down_times[-1] + self.settings.calm_time
            if now < record.stable_at:
                record.accepted = replace(reported, endpoint=replace(reported.endpoint, state=state))
                return
        if reported_state != state:
            record.state_since = now
        record.accepted = reported

    def _apply_missing(self, now: float, missing_ids: list[str]) -> None:
        """Remove endpoints that a complete list does not contain, or put them in doubt if they are many."""
        are_few = len(missing_ids) <= self.settings.doubt_share * len(self.records)
        for endpoint_id in missing_ids:
            record = self.records[endpoint_id]
            if are_few and record.missing_since == math.inf:
                self._remove(endpoint_id)
                continue
            record.missing_since = min(record.missing_since, now)
            record.missed_lists += 1
            self._ids_in_doubt.add(endpoint_id)

    def _resolve_doubts(self, now: float) -> None:
        """Remove endpoints that have been missing for long enough, and bring stable ones back."""
        confirmed_ids = [
            doubtful_id
            for doubtful_id in self._ids_in_doubt
            if self._is_confirmed_missing(now, self.records[doubtful_id])
        ]
        if len(confirmed_ids) < len(self.records):  # the list must not become empty
            for endpoint_id in confirmed_ids:
                self._remove(endpoint_id)
        for endpoint_id in list(self._ids_in_doubt):
            record = self.records[endpoint_id]
            if record.doubt is DoubtReason.FLAPPING and now >= record.stable_at:
                self._record_previous(endpoint_id)
                self._accept(now, record)
                self._update_doubt(endpoint_id, record)

    def _is_confirmed_missing(self, now: float, record: EndpointRecord) -> bool:
        if record.missed_lists < self.settings.looks:
            return False
        return now - record.missing_since >= self.settings.doubt_time

    # Changes

    def _collect_changes(self) -> EndpointListing | None:
        """Return the changes that this update made to the accepted list."""
        accepted_before = self._accepted_before
        self._accepted_before = {}
        endpoints: list[messages.Endpoint] = []
        addresses: dict[str, Address] = {}
        for endpoint_id, previous in accepted_before.items():
            record = self.records.get(endpoint_id)
            if record is None:
                if previous is not None:
                    endpoints.append(replace(previous.endpoint, state=EndpointStatus.DOWN))
            elif not _is_equal_except_timestamp(previous, record.accepted):
                endpoints.append(record.accepted.endpoint)
                addresses[endpoint_id] = record.accepted.address
        if not endpoints:
            return None
        self.version += 1
        return EndpointListing(
            messages.EndpointList(ListMode.DELTA, self.version, tuple(endpoints)), addresses
        )


def _latest_by_address(reported: Iterable[ReportedEndpoint]) -> dict[str, ReportedEndpoint]:
    """Return the latest report for each address, by endpoint id.

    An endpoint that is listed under two ids would get twice its share of the load.
    """
    latest_by_address: dict[Address, ReportedEndpoint] = {}
    for report in reported:
        other = latest_by_address.get(report.address)
        if other is None or report.timestamp_ms >= other.timestamp_ms:
            latest_by_address[report.address] = report
    return {report.endpoint.id: report for report in latest_by_address.values()}


def _with_plausible_start(
    now: float, report: ReportedEndpoint, record: EndpointRecord | None
) -> ReportedEndpoint:
    """Return the report with its start time replaced by the time at which that start was first reported.

    A start time in the future, from a clock that is ahead, would keep the endpoint in slow start forever.
    """
    started_at = now
    if record is not None and record.reported_start == report.endpoint.started_at:
        started_at = record.reported.endpoint.started_at
    return replace(report, endpoint=replace(report.endpoint, started_at=started_at))


def _is_contradicting_older_report(report: ReportedEndpoint, record: EndpointRecord) -> bool:
    """Return whether a report is older than the last one, changes something and does not worsen the state."""
    if not 0 < report.timestamp_ms < record.reported.timestamp_ms:
        return False
    accepted = record.accepted
    if _SEVERITY_BY_STATE[report.endpoint.state] > _SEVERITY_BY_STATE[accepted.endpoint.state]:
        return False
    return not _is_equal_except_timestamp(report, accepted)


def _is_equal_except_timestamp(first: ReportedEndpoint | None, second: ReportedEndpoint | None) -> bool:
    if first is None or second is None:
        return False
    return first.endpoint == second.endpoint and first.address == second.address

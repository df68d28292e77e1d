"""One user's ledger of a quota that several users share by a count: units leased, used and reported.

The quota turns in windows of fixed length. Each user adds to the shared count what it has used (reported)
and what it wants to use (a lease), and learns the total of all. A call may be lost, or its answer; the ledger
says what is then known.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from apigateway.messages import CounterCallResult
from apigateway.routing.demand import DemandEstimator

LOCAL_SHARE_GAIN = 0.5  # weight of the latest window in the part of the use that is here
TOTAL_PRECISION = 1e-4  # part of a total, seven digits of which are exact: less than that is no difference


@dataclass(slots=True)
class LedgerEntry:
    """What one call adds to the shared count."""

    window: int
    reported: float = 0.0  # units that were used before
    requested: float = 0.0  # units to lease
    correction: float = 0.0  # units to correct the count
    unclaimed: float = 0.0  # units of earlier calls that it makes use of

    @property
    def amount(self) -> float:
        """The sum that is added."""
        return self.reported + self.requested + self.correction - self.unclaimed


class LeaseLedger:
    """The units of the current window, as far as they are known here.

    Args:
        rate: units a second of the quota; 0: there is none.
        burst: units of a window.
        gateway_count: users that share the quota.
        phase: part of a window, 0 to 1, by which its windows begin late.
        now: the time, in seconds.
        draw: returns random numbers from 0 to 1; one is kept for each window.
    """

    __slots__ = (  # there is one for each customer
        "_draw",
        "burst",
        "carried_units",
        "debt_units",
        "demand",
        "exhausted_until",
        "has_call_in_flight",
        "has_subunit_share",
        "leased_units",
        "local_share",
        "previous_used_units",
        "rate",
        "reported_units",
        "rounding_draw",
        "unclaimed_units",
        "gateway_count",
        "total_units",
        "unconfirmed_units",
        "unreported_units",
        "used_units",
        "window_index",
        "window_length",
        "window_offset",
        "window_start",
    )

    def __init__(
        self,
        rate: float,
        burst: float,
        gateway_count: int,
        phase: float,
        now: float,
        draw: Callable[[], float],
    ) -> None:
        self.rate = rate
        self.burst = burst
        self._draw = draw
        self.set_gateway_count(gateway_count)
        self.local_share = 1.0 / gateway_count  # of the quota's use that is here
        self.demand = DemandEstimator(now)
        self.has_call_in_flight = False  # one that reports or asks for units
        self.used_units = 0.0  # here, in this window
        self.window_length = burst / rate if rate else 1.0  # s
        self.window_offset = phase * self.window_length
        self._open_window(self._window_at(now), 0.0)

    def set_gateway_count(self, gateway_count: int) -> None:
        """Set how many users share the quota."""
        self.gateway_count = gateway_count
        self.has_subunit_share = (
            0 < self.burst < gateway_count
        )  # an even part of the burst is less than a unit

    @property
    def window_end(self) -> float:
        """The time when the window turns."""
        return self.window_start + self.window_length

    def _window_at(self, now: float) -> int:
        return math.floor((now - self.window_offset) / self.window_length)

    def _open_window(self, index: int, debt: float) -> None:
        self.window_index = index
        self.window_start = index * self.window_length + self.window_offset
        self.leased_units = 0.0  # granted ahead
        self.unreported_units = 0.0  # used, but not yet counted
        self.reported_units = 0.0  # added to the count from here
        self.unclaimed_units = 0.0  # added by calls whose answers were spoilt: ours, but not leased yet
        self.unconfirmed_units = 0.0  # of calls without answer: they may have been added
        self.total_units = debt  # of all users, by the count's last answer
        self.debt_units = debt  # brought along from earlier windows
        self.carried_units = debt  # part of the total that is no use in this window
        self.previous_used_units = self.used_units  # in the last window
        self.used_units = 0.0
        self.exhausted_until = 0.0  # when units are to be had again, once there were none
        self.rounding_draw = self._draw()

    def advance_window(self, now: float) -> None:
        """Turn to the window of `now`: leases lapse; what is beyond the burst is carried along as debt."""
        index = self._window_at(now)
        if index == self.window_index:
            return
        known_use = self.total_units - self.carried_units
        if self.reported_units > 0 and known_use >= 1:  # the count has given what all used
            self.local_share += LOCAL_SHARE_GAIN * (min(1.0, self.used_units / known_use) - self.local_share)
        # Where an even part is less than a unit, the few users that use one unreported say nothing of the
        # others: taken times the gateway_count, one such unit would be a debt of many windows, for all.
        unreported = self.unreported_units * (1 if self.has_subunit_share else self.gateway_count)
        debt = max(0.0, self.total_units + unreported - self.burst * (index - self.window_index))
        if index != self.window_index + 1:
            self.used_units = 0.0  # of a window before the last one
        self._open_window(index, debt)

    def window_limit(self, now: float) -> float:
        """Return what all users may have used by now."""
        return self.burst + self.rate * (now - self.window_start)

    def remaining(self, now: float) -> float:
        """Return the units that are left to all users."""
        return min(self.burst, self.window_limit(now) - self.total_units) - self.unreported_units

    def remaining_and_reset(self, now: float, kept_units: float) -> tuple[float, float]:
        """Return the units that are left here, leased ones too, and the seconds until the window turns.

        Args:
            now: the time.
            kept_units: what is kept for others.
        """
        if not self.rate:
            return math.inf, 0.0
        self.advance_window(now)
        unused = self.window_limit(now) - self.total_units + self.leased_units - self.unreported_units
        return max(0.0, min(self.burst, unused) - kept_units), self.window_end - now

    def take(self, units: float, is_leased: bool) -> None:
        """Use units, from a lease or to be reported later."""
        if is_leased:
            self.leased_units -= units
        else:
            self.unreported_units += units
        self.used_units += units

    def refund(self, units: float, window: int) -> None:
        """Take back units that were not used, if the window that they were used in is still open."""
        if self.rate and self.window_index == window:
            self.leased_units += units
            self.used_units -= units

    def begin_call(self, requested: float, correction: float) -> LedgerEntry:
        """Begin a call that reports all units and asks for others; its end sets `has_call_in_flight` back.

        Args:
            requested: units to lease.
            correction: units to correct the count.

        Returns:
            What it adds.
        """
        self.has_call_in_flight = True
        entry = LedgerEntry(
            self.window_index, self.unreported_units, requested, correction, self.unclaimed_units
        )
        self.total_units += self.unreported_units
        self.unreported_units = 0.0
        self.unclaimed_units = 0.0
        return entry

    def on_call_without_total(self, result: CounterCallResult, entry: LedgerEntry) -> None:
        """Take up that a call has given no total; `result` says whether it added its units."""
        if (
            result == CounterCallResult.MALFORMED_REPLY
        ):  # its units were added: the next call uses what was asked for
            self.reported_units += entry.amount
            self.unclaimed_units += entry.requested
        elif result == CounterCallResult.TIMEOUT:
            self.unconfirmed_units += entry.amount
        else:
            self.unreported_units += entry.reported
            self.total_units -= entry.reported
            self.unclaimed_units += entry.unclaimed

    def reconcile_total(self, total: float, entry: LedgerEntry) -> float:
        """Return what a total with this entry lacks, and forget that it was reported.

        A total of less than what was added from here alone: the count was lost, and is to be added again. A
        total of just that: the first to add brings the debt along.
        """
        own_units = self.reported_units + entry.amount
        slack = TOTAL_PRECISION * max(1.0, total)
        missing = 0.0
        if total < own_units - slack:
            missing = self.reported_units
            self.reported_units = 0.0  # the new count holds no more of it
        elif total <= own_units + self.unconfirmed_units + slack:
            missing = self.debt_units
            self.debt_units = 0.0
        return missing

    def drop_surplus(self, total: float, limit: float) -> int:
        """Return by how many whole units, beyond a burst, a total is below the limit: they are lost."""
        surplus = max(0, int(limit - self.burst - total))
        self.carried_units += surplus
        return surplus

    def on_granted(self, total: float, entry: LedgerEntry, missing: float, denied: float) -> None:
        """Take up a total: `missing` units are to be added to it, `denied` of those asked for taken off."""
        self.reported_units += entry.amount + missing - denied
        self.total_units = total + missing - denied
        self.leased_units += entry.requested - denied

"""One gateway's ledger of a quota that gateways share through a counter: units leased, used and reported.

The quota is divided into windows of fixed length. In each window a gateway adds to the shared count the units
that it has used (reported) and those that it wants to use (a lease), and the counter answers with the total
of all gateways. A call or its answer may be lost; the ledger keeps track of what is known in that case.

All units are multiples of one resolution (units.py), so sums and differences of them are exact. The caller
rounds what it passes in.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from apigateway.messages import CounterCallResult
from apigateway.routing.demand import DemandEstimator
from apigateway.routing.units import floor_units, round_units

LOCAL_SHARE_GAIN = 0.5  # weight of the latest window in `local_share`
TOTAL_RELATIVE_TOLERANCE = 1e-4  # totals are exact to seven digits; smaller differences are ignored


@dataclass(slots=True)
class LedgerEntry:
    """The units that one call adds to the shared count."""

    window: int
    reported: float = 0.0  # units used since the last report
    requested: float = 0.0  # units to lease
    correction: float = 0.0  # units that correct the count
    claimed: float = 0.0  # units added by earlier calls whose answers were unusable, claimed by this call
    limits_version: int = 0  # of the ledger when the call began
    is_whole: bool = False  # whether only whole units of the lease can be used

    @property
    def amount(self) -> float:
        """Return the sum that is added."""
        return self.reported + self.requested + self.correction - self.claimed


class LeaseLedger:
    """The units of the current window, as far as this gateway knows them.

    Args:
        rate: units per second of the quota; 0 means no quota.
        burst: units per window.
        gateway_count: number of gateways that share the quota.
        phase: offset of the window starts, as a fraction (0 to 1) of a window.
        now: the time, in seconds.
        random: returns random numbers from 0 to 1; one is kept for each window.
    """

    __slots__ = (  # there is one ledger for each customer
        "_configured_burst",
        "_phase",
        "_random",
        "burst",
        "carried_units",
        "debt_units",
        "demand",
        "exhausted_until",
        "gateway_count",
        "has_call_in_flight",
        "has_subunit_share",
        "leased_units",
        "limits_version",
        "local_share",
        "previous_used_units",
        "rate",
        "reported_units",
        "rounding_draw",
        "total_units",
        "unclaimed_units",
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
        random: Callable[[], float],
    ) -> None:
        self._random = random
        self._phase = phase
        self.limits_version = 0  # number of changes of rate and burst
        self._set_limits(rate, burst)
        self.set_gateway_count(gateway_count)
        self.local_share = 1.0 / gateway_count  # of the units used by all gateways, the share used here
        self.demand = DemandEstimator(now)
        self.has_call_in_flight = False  # a call that reports or leases units
        self.used_units = 0.0  # by this gateway in this window
        self._open_window(self._window_index_at(now), 0.0)

    def _set_limits(self, rate: float, burst: float) -> None:
        self.rate = rate
        self._configured_burst = burst
        self.burst = floor_units(burst) or burst  # one below the resolution admits nothing
        # From the configured burst: the window's index is part of the counter's key.
        self.window_length = burst / rate if rate else 1.0  # s
        self.window_offset = self._phase * self.window_length

    def has_limits(self, rate: float, burst: float) -> bool:
        """Return whether these are the rate and burst in use."""
        return rate == self.rate and burst == self._configured_burst

    def set_gateway_count(self, gateway_count: int) -> None:
        """Set the number of gateways that share the quota."""
        self.gateway_count = gateway_count
        # Whether an equal share of the burst is below one unit.
        self.has_subunit_share = 0 < self.burst < gateway_count

    @property
    def window_end(self) -> float:
        """Return the time at which the current window ends."""
        return self.window_start + self.window_length

    def _window_index_at(self, now: float) -> int:
        return math.floor((now - self.window_offset) / self.window_length)

    def _open_window(self, index: int, debt: float) -> None:
        self.window_index = index
        self.window_start = index * self.window_length + self.window_offset
        self.leased_units = 0.0  # granted and not used yet
        self.unreported_units = 0.0  # used without a lease and not yet reported
        self.reported_units = 0.0  # added to the shared count by this gateway
        self.unclaimed_units = 0.0  # added by calls whose answers were unusable, and not leased yet
        self.unconfirmed_units = 0.0  # of calls without an answer, which may have been added
        self.total_units = debt  # of all gateways, from the counter's latest answer
        self.debt_units = debt  # overdraft of earlier windows
        self.carried_units = debt  # part of the total that was not used in this window
        self.previous_used_units = self.used_units  # in the window before
        self.used_units = 0.0
        self.exhausted_until = 0.0  # when units are expected to be available again
        self.rounding_draw = self._random()

    def advance_window(self, now: float) -> None:
        """Move to the window of `now`: leases expire, and use beyond the burst is carried over as debt."""
        index = self._window_index_at(now)
        if index == self.window_index:
            return
        window_use = self.total_units - self.carried_units
        if self.reported_units > 0 and window_use >= 1:  # the total of all gateways is known
            self.local_share += LOCAL_SHARE_GAIN * (min(1.0, self.used_units / window_use) - self.local_share)
        # Extrapolates this gateway's unreported units to all gateways, except where an equal share is below
        # one unit: only few gateways have unreported units then, and one unit times the number of gateways
        # would be a debt of many windows for all.
        unreported = self.unreported_units * (1 if self.has_subunit_share else self.gateway_count)
        debt = max(0.0, self.total_units + unreported - self.burst * (index - self.window_index))
        if index != self.window_index + 1:
            self.used_units = 0.0  # they were used before the previous window
        self._open_window(index, debt)

    def change_limits(self, rate: float, burst: float, now: float) -> None:
        """Continue with another rate and burst, in the window that is open under them.

        Units that were spent and are not refilled yet stay spent, and leases are kept. A call in flight
        belongs to the earlier window.
        """
        spent = 0.0
        leased = 0.0
        unreported = 0.0
        if self.rate:
            self.advance_window(now)
            spent = max(0.0, self.total_units - self.rate * (now - self.window_start))
            leased = self.leased_units
            unreported = self.unreported_units
        self.limits_version += 1
        self._set_limits(rate, burst)
        self.set_gateway_count(self.gateway_count)
        index = self._window_index_at(now)
        refilled = rate * (now - index * self.window_length - self.window_offset)
        self._open_window(index, floor_units(spent + refilled) if spent else 0.0)
        self.leased_units = leased
        self.unreported_units = unreported

    def window_limit(self, now: float) -> float:
        """Return the units that all gateways together may have used by now."""
        return floor_units(self.burst + self.rate * (now - self.window_start))

    def remaining(self, now: float) -> float:
        """Return the units that are left for all gateways."""
        return min(self.burst, self.window_limit(now) - self.total_units) - self.unreported_units

    def remaining_and_reset(self, now: float, kept_units: float) -> tuple[float, float]:
        """Return the remaining units, including this gateway's leases, and the seconds until the window ends.

        Args:
            now: the time.
            kept_units: units that are kept for other requests.
        """
        if not self.rate:
            return math.inf, 0.0
        self.advance_window(now)
        unused = self.window_limit(now) - self.total_units + self.leased_units - self.unreported_units
        return max(0.0, min(self.burst, unused) - kept_units), self.window_end - now

    def take(self, units: float, is_leased: bool) -> None:
        """Use units, either leased ones or ones to be reported later."""
        if is_leased:
            self.leased_units -= units
        else:
            self.unreported_units += units
        self.used_units += units

    def refund(self, units: float, window: int | None) -> None:
        """Return unused units to the lease, if the window in which they were taken is still open.

        `window` is None if the units were not taken from this quota.
        """
        if self.rate and self.window_index == window:
            self.leased_units += units
            self.used_units -= units

    def new_entry(self, correction: float) -> LedgerEntry:
        """Return the entry of a call that only corrects the count of the current window."""
        return LedgerEntry(self.window_index, correction=correction, limits_version=self.limits_version)

    def is_current(self, entry: LedgerEntry) -> bool:
        """Return whether an entry belongs to the current window, under the current limits."""
        return entry.window == self.window_index and entry.limits_version == self.limits_version

    def begin_call(self, requested: float, correction: float, is_whole: bool = False) -> LedgerEntry:
        """Begin a call that reports all unreported units and requests a lease.

        The caller resets `has_call_in_flight` when the call ends.

        Args:
            requested: units to lease.
            correction: units that correct the count.
            is_whole: whether only whole units of the lease can be used.

        Returns:
            The units that the call adds.
        """
        self.has_call_in_flight = True
        entry = LedgerEntry(
            self.window_index,
            self.unreported_units,
            requested,
            round_units(correction),
            self.unclaimed_units,
            self.limits_version,
            is_whole,
        )
        self.total_units += self.unreported_units
        self.unreported_units = 0.0
        self.unclaimed_units = 0.0
        return entry

    def on_call_without_total(self, result: CounterCallResult, entry: LedgerEntry) -> None:
        """Record that a call returned no total; `result` shows whether its units were added."""
        if result == CounterCallResult.MALFORMED_REPLY:  # added, but not leased: the next call claims them
            self.reported_units += entry.amount
            self.unclaimed_units += entry.requested
        elif result == CounterCallResult.TIMEOUT:
            self.unconfirmed_units += entry.amount
        else:
            self.unreported_units += entry.reported
            self.total_units -= entry.reported
            self.unclaimed_units += entry.claimed

    def reconcile_total(self, total: float, entry: LedgerEntry) -> float:
        """Return the units that are missing from a total that includes this entry, for the caller to add.

        If the total is less than what this gateway has added, the counter lost the count, and this gateway's
        units are added again. If the total contains only this gateway's units, it is the first to report in
        this window, and adds the debt.
        """
        own_units = self.reported_units + entry.amount
        tolerance = TOTAL_RELATIVE_TOLERANCE * max(1.0, total)
        missing = 0.0
        if total < own_units - tolerance:
            missing = self.reported_units
            self.reported_units = 0.0  # none of it is in the new count
        elif total <= own_units + self.unconfirmed_units + tolerance:
            missing = self.debt_units
            self.debt_units = 0.0
        return missing

    def drop_surplus(self, total: float, limit: float) -> int:
        """Drop the unused whole units beyond one burst, and return their number."""
        surplus = max(0, int(limit - self.burst - total))
        self.carried_units += surplus
        return surplus

    def on_granted(self, total: float, entry: LedgerEntry, missing: float, denied: float) -> None:
        """Record a total to which `missing` units are added, and a lease of the units not `denied`."""
        self.reported_units += entry.amount + missing - denied
        self.total_units = total + missing - denied
        self.leased_units += entry.requested - denied

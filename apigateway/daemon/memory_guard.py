"""Keep the process within its memory limit by its measured size, and return freed memory to the system.

What is done at each stage is listed in `core/memory_pressure.py`. Requests that were accepted are answered at
every stage.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from time import monotonic
from typing import Protocol

from apigateway.core.budget import Budget
from apigateway.core.memory_pressure import MemoryPressure, PressureStage

# Interval of the readings, and while the process grows by GROWTH_BYTES between two of them.
READ_INTERVAL_S = 0.1
FAST_READ_INTERVAL_S = 0.02
GROWTH_BYTES = 1024 * 1024
# Freed memory is returned when what no account counts has grown by this since the last time, at most every
# TRIM_INTERVAL_S (under pressure at every reading).
TRIM_SURPLUS_BYTES = 8 * 1024 * 1024
TRIM_INTERVAL_S = 0.5
# It is also returned after clients have used this much since the last time.
TRIM_AFTER_BYTES = 16 * 1024 * 1024
TRIM_AFTER_INTERVAL_S = 2.0
# Memory beyond the start that no account counts, above which a line is logged.
MAX_UNCOUNTED_BYTES = 24 * 1024 * 1024
LOG_INTERVAL_S = 5.0
BYTES_PER_MIB = 1024 * 1024

log = logging.getLogger(__name__)


class GuardedFrontend(Protocol):
    """What the guard asks of a frontend."""

    def set_memory_stage(self, stage: PressureStage, excess_bytes: int) -> None:
        """Act as the stage says; called at each reading above NORMAL, and once when NORMAL is back."""

    def describe_holders(self) -> Sequence[str]:
        """Return a few words on each kind of object that holds memory, largest first."""


class SizeReader(Protocol):
    """Tells the size of the process."""

    def read(self) -> int | None:
        """Return the size in bytes; None if the platform does not tell."""


class MemoryGuard:
    """Reads the size of the process at intervals, and acts on it.

    Args:
        limit_bytes: The memory limit of the process.
        budget: The account of the memory for clients.
        frontends: Returns the frontends.
        set_rejecting: Called with whether new requests are rejected.
        size: Tells the size of the process.
        trim: Returns freed memory to the system; None if that is not possible.
    """

    def __init__(
        self,
        limit_bytes: int,
        budget: Budget,
        frontends: Callable[[], Sequence[GuardedFrontend]],
        set_rejecting: Callable[[bool], None],
        size: SizeReader,
        trim: Callable[[], object] | None,
    ) -> None:
        self.pressure = MemoryPressure(limit_bytes)
        self._limit_bytes = limit_bytes
        self.size_bytes = 0  # as last read
        self._start_bytes: int | None = None  # the process's size without clients
        self._budget = budget
        self._frontends = frontends
        self._set_rejecting = set_rejecting
        self._size = size
        self._trim = trim
        self._trimmed_at_total = 0.0
        self._trimmed_at = 0.0
        self._least_uncounted_bytes = 0  # since the last trim
        self._logged_at = -LOG_INTERVAL_S
        self._is_stopped = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def uncounted_bytes(self) -> int:
        """How much larger the process is than at its start, without what the account counts."""
        return self.size_bytes - (self._start_bytes or 0) - int(self._budget.used)

    def start(self) -> None:
        """Read the size at intervals until `stop`."""
        size_bytes = self._size.read()
        if size_bytes is None:
            log.warning("the size of the process cannot be read: only the account of clients limits memory")
            self._schedule(TRIM_AFTER_INTERVAL_S, self._trim_by_account)
            return
        if size_bytes >= self._limit_bytes:
            log.warning("the process is larger than its memory limit at its start: the limit is not kept")
            self._schedule(TRIM_AFTER_INTERVAL_S, self._trim_by_account)
            return
        self.pressure = MemoryPressure(self._limit_bytes, size_bytes)
        self._start_bytes = size_bytes
        self.size_bytes = size_bytes
        self._schedule(READ_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Read the size no more, and let the listeners accept: what waits is owed its answer."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self.pressure.stage >= PressureStage.REJECT:
            for frontend in self._frontends():
                frontend.set_memory_stage(PressureStage.CLOSE_LARGEST, 0)

    def _schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        if not self._is_stopped:
            self._timer = asyncio.get_running_loop().call_later(delay_s, callback)

    def _check(self) -> None:
        size_bytes = self._size.read()
        delay_s = READ_INTERVAL_S
        if size_bytes is not None:
            grown_bytes = size_bytes - self.size_bytes
            self.size_bytes = size_bytes
            self._act()
            if grown_bytes >= GROWTH_BYTES or self.pressure.stage > PressureStage.NORMAL:
                delay_s = FAST_READ_INTERVAL_S
        self._schedule(delay_s, self._check)

    def _act(self) -> None:
        old_stage = self.pressure.stage
        stage = self.pressure.update(self.size_bytes)
        if self._should_trim(stage):
            self._do_trim()
            self.size_bytes = self._size.read() or self.size_bytes
            self._least_uncounted_bytes = self.uncounted_bytes
            stage = self.pressure.update(self.size_bytes)
        if stage != old_stage:
            self._on_stage_changed(stage)
        if stage != old_stage or stage > PressureStage.NORMAL:
            excess_bytes = self.pressure.excess_bytes(self.size_bytes)
            for frontend in self._frontends():
                frontend.set_memory_stage(stage, excess_bytes)
        if self.uncounted_bytes > MAX_UNCOUNTED_BYTES:
            self._log_holders()

    def _on_stage_changed(self, stage: PressureStage) -> None:
        self._set_rejecting(stage >= PressureStage.REJECT)
        log.warning("memory: %s at %s", stage.name, self._describe_size())
        if stage >= PressureStage.REJECT:
            self._log_holders()

    def _should_trim(self, stage: PressureStage) -> bool:
        if self._trim is None:
            return False
        self._least_uncounted_bytes = min(self._least_uncounted_bytes, self.uncounted_bytes)
        if stage > PressureStage.NORMAL:
            return True
        if monotonic() - self._trimmed_at < TRIM_INTERVAL_S:
            return False
        return self.uncounted_bytes > self._least_uncounted_bytes + TRIM_SURPLUS_BYTES or self._is_trim_due()

    def _is_trim_due(self) -> bool:
        """Return whether clients have used so much that it is worth a trim."""
        used_bytes = self._budget.acquired_total - self._trimmed_at_total
        return used_bytes >= TRIM_AFTER_BYTES and monotonic() - self._trimmed_at >= TRIM_AFTER_INTERVAL_S

    def _trim_by_account(self) -> None:
        """Return freed memory after clients have used much, where the size cannot be read."""
        if self._trim is not None and self._is_trim_due():
            self._do_trim()
        self._schedule(TRIM_AFTER_INTERVAL_S, self._trim_by_account)

    def _do_trim(self) -> None:
        assert self._trim is not None
        self._trim()
        self._trimmed_at = monotonic()
        self._trimmed_at_total = self._budget.acquired_total

    def _log_holders(self) -> None:
        now = monotonic()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        holders = [holder for frontend in self._frontends() for holder in frontend.describe_holders()]
        log.warning("memory: %s; held: %s", self._describe_size(), ", ".join(holders) or "nothing known")

    def _describe_size(self) -> str:
        sizes = (self.size_bytes, self._budget.used, self.uncounted_bytes)
        size, account, uncounted = (value / BYTES_PER_MIB for value in sizes)
        return f"{size:.0f} MiB, {account:.0f} MiB in the account, {uncounted:.0f} MiB uncounted"

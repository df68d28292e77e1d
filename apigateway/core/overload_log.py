"""Log the start and the end of each overload once."""

from __future__ import annotations

import logging
from typing import Protocol

# Time without overload after which the end of an overload is logged.
OVERLOAD_END_DELAY_S = 2.0

log = logging.getLogger(__name__)


class LoadSheddingCounts(Protocol):
    """The statistics of an overload gate that are logged; each `OverloadLog.update` reads them."""

    shed_count: int  # requests shed during overloads
    admitted_count: int  # requests admitted during overloads
    lag: float  # seconds

    @property
    def is_overloaded(self) -> bool:
        """Whether the gateway is overloaded and sheds requests."""


class OverloadLog:
    """Tracks an overload from its start until the gateway was not overloaded for OVERLOAD_END_DELAY_S."""

    def __init__(self, gate: LoadSheddingCounts) -> None:
        self._gate = gate
        self.is_overloaded = False  # whether a start was logged without its end
        self._started_at = 0.0
        self._last_overloaded_at = 0.0
        self._shed_count_at_start = 0
        self._admitted_count_at_start = 0

    def update(self, now: float) -> None:
        """Check the gate's state at time `now`, in seconds; call this several times a second."""
        if self._gate.is_overloaded:
            self._last_overloaded_at = now
            if not self.is_overloaded:
                self._log_start(now)
        elif self.is_overloaded and now - self._last_overloaded_at > OVERLOAD_END_DELAY_S:
            self._log_end()

    def _log_start(self, now: float) -> None:
        self.is_overloaded = True
        self._started_at = now
        self._shed_count_at_start = self._gate.shed_count
        self._admitted_count_at_start = self._gate.admitted_count
        log.warning(
            "overload started: event loop lag %.0f ms; shedding the requests of lowest value",
            self._gate.lag * 1000,
        )

    def _log_end(self) -> None:
        self.is_overloaded = False
        log.warning(
            "overload ended after %.1f s: %d requests shed, %d admitted",
            self._last_overloaded_at - self._started_at,
            self._gate.shed_count - self._shed_count_at_start,
            self._gate.admitted_count - self._admitted_count_at_start,
        )

"""Log the begin and the end of an overload, once each."""

from __future__ import annotations

import logging
from typing import Protocol

# Seconds without any shedding after which an overload is over for the log.
OVERLOAD_END_AFTER_S = 2.0

log = logging.getLogger(__name__)


class LoadSheddingCounts(Protocol):
    """What the log tells of an overload gate; its figures are read at each `OverloadLog.update`."""

    shed_count: int  # requests, during overloads
    admitted_count: int  # likewise
    lag: float  # seconds

    @property
    def is_overloaded(self) -> bool:
        """Whether the gateway is overloaded, so that something is shed."""


class OverloadLog:
    """One overload from its begin until nothing was shed for OVERLOAD_END_AFTER_S."""

    def __init__(self, gate: LoadSheddingCounts) -> None:
        self._gate = gate
        self.is_overloaded = False  # as the log has it
        self._began_at = 0.0
        self._last_overloaded_at = 0.0
        self._shed_before = 0  # the gate's counts when the overload began
        self._admitted_before = 0

    def update(self, now: float) -> None:
        """Look at the gate's state at time `now`, in seconds; to be called a few times a second."""
        if self._gate.is_overloaded:
            self._last_overloaded_at = now
            if not self.is_overloaded:
                self._log_begin(now)
        elif self.is_overloaded and now - self._last_overloaded_at > OVERLOAD_END_AFTER_S:
            self._log_end()

    def _log_begin(self, now: float) -> None:
        self.is_overloaded = True
        self._began_at = now
        self._shed_before = self._gate.shed_count
        self._admitted_before = self._gate.admitted_count
        log.warning(
            "overload: requests wait %.0f ms for the core; what is worth least is turned away",
            self._gate.lag * 1000,
        )

    def _log_end(self) -> None:
        self.is_overloaded = False
        log.warning(
            "overload over after %.1f s: %d turned away, %d passed",
            self._last_overloaded_at - self._began_at,
            self._gate.shed_count - self._shed_before,
            self._gate.admitted_count - self._admitted_before,
        )

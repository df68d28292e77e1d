"""One line of log at most every REPORT_INTERVAL_S on clients that hold the gateway up or misuse it.

It names the connections that used most time and memory, and counts refusals and closed connections by reason.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import TYPE_CHECKING

from apigateway.core.input_scheduler import InputScheduler

if TYPE_CHECKING:
    from apigateway.frontends.resp.client_connection import ClientConnection

REPORT_INTERVAL_S = 5.0
BYTES_PER_MIB = 1024 * 1024

log = logging.getLogger(__name__)


class CloseReason(StrEnum):
    """Why the gateway closed a connection that its client would have used on."""

    PROTOCOL_ERROR = "protocol error"
    PARTIAL_COMMAND_MEMORY = "no memory for partial commands"
    PARTIAL_COMMAND_TIMEOUT = "command not finished in time"
    RESPONSES_UNREAD = "responses not read"
    UNFINISHED = "command unfinished, for a new connection"
    MEMORY = "memory of the process"
    EVICTED = "idle, for a new connection"
    TOO_MANY_CONNECTIONS = "too many connections"
    INPUT_AFTER_ERROR = "input after an error"


class ActivityLog:
    """Counts what clients do since the last line, and logs it.

    Args:
        scheduler: Knows how many connections waited for their turn.
    """

    def __init__(self, scheduler: InputScheduler) -> None:
        self._scheduler = scheduler
        self._closed = Counter[CloseReason]()
        self._refused = Counter[str]()
        self._failed_for_memory = 0
        self._reported_at = 0.0
        self._logs_each = log.isEnabledFor(logging.DEBUG)  # read once: it is asked for every refusal

    def on_closed(self, connection: ClientConnection, reason: CloseReason) -> None:
        """Record that the gateway closes a connection."""
        self._closed[reason] += 1
        if self._logs_each:
            log.debug("connection %d of %s closed: %s", connection.number, connection.peer, reason)

    def on_rejected(self) -> None:
        """Record a new connection that got an error, for there are too many."""
        self._closed[CloseReason.TOO_MANY_CONNECTIONS] += 1

    def on_refused(self, connection: ClientConnection, reason: str) -> None:
        """Record an invalid command; `reason` is one of the fixed texts that clients get."""
        self._refused[reason] += 1
        if self._logs_each:
            log.debug("connection %d of %s: refused: %s", connection.number, connection.peer, reason)

    def on_failed_for_memory(self) -> None:
        """Record that a response was replaced by a failure, because there was no memory for it."""
        self._failed_for_memory += 1

    def report(self, now: float, connections: Iterable[ClientConnection]) -> None:
        """Log a line if there is something to report and the last one was long ago."""
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        queued = self._scheduler.take_queued_count()
        delay_s = self._scheduler.take_longest_delay_s()
        wait_s = self._scheduler.take_longest_wait_s()
        if queued or self._closed or self._refused or self._failed_for_memory:
            self._log_line(queued, delay_s, wait_s, connections)
            self._reported_at = now
        self._closed.clear()
        self._refused.clear()
        self._failed_for_memory = 0
        for connection in connections:
            connection.input.used_s = 0.0

    def _log_line(
        self, queued: int, delay_s: float, wait_s: float, connections: Iterable[ClientConnection]
    ) -> None:
        parts = [
            f"input put back {queued} times for up to {wait_s:.3f} s, turns late by up to {delay_s:.3f} s"
        ]
        busiest = max(connections, key=lambda one: one.input.used_s, default=None)
        if busiest is not None:
            used_s = busiest.input.used_s
            parts.append(f"most time: {used_s:.3f} s for connection {busiest.number} of {busiest.peer}")
        largest = max(connections, key=lambda one: one.held_bytes, default=None)
        if largest is not None:
            size_mib = largest.held_bytes / BYTES_PER_MIB
            parts.append(f"most memory: {size_mib:.2f} MiB for connection {largest.number} of {largest.peer}")
        if self._refused:
            parts.append(f"invalid commands: {_format(self._refused)}")
        if self._closed:
            parts.append(f"connections closed: {_format(self._closed)}")
        if self._failed_for_memory:
            parts.append(f"responses failed for memory: {self._failed_for_memory}")
        log.warning("clients: %s", "; ".join(parts))


def _format(counts: Counter[str] | Counter[CloseReason]) -> str:
    return ", ".join(f"{count} {reason}" for reason, count in counts.most_common())

"""The attempts of one request: which are in flight, which may have executed it, which timed out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple


class SentAttempt(NamedTuple):
    """An attempt that was sent to an endpoint."""

    endpoint_id: str
    sent_at: float


@dataclass(slots=True, eq=False, kw_only=True)
class AttemptHistory:
    """The attempts of one request, numbered from 0 in the order in which they were sent."""

    attempt_count: int = 0
    in_flight: dict[int, SentAttempt] = field(default_factory=dict)
    possibly_executed: list[SentAttempt] = field(default_factory=list)  # only attempts that have ended
    tried_endpoint_ids: set[str] = field(default_factory=set)
    _timed_out: set[int] = field(default_factory=set)
    _given_up: set[int] = field(default_factory=set)

    def begin_attempt(self, endpoint_id: str, now: float) -> int:
        """Record that an attempt is sent, and return its number."""
        number = self.attempt_count
        self.in_flight[number] = SentAttempt(endpoint_id, now)
        self.tried_endpoint_ids.add(endpoint_id)
        self.attempt_count += 1
        return number

    def end_attempt(self, number: int, may_have_executed: bool) -> None:
        """Record that an attempt has ended."""
        attempt = self.in_flight.pop(number, None)
        if may_have_executed and attempt is not None:
            self.possibly_executed.append(attempt)

    def possible_executions(self) -> list[SentAttempt]:
        """Return the attempts that may have executed the request or may still execute it."""
        return self.possibly_executed + list(self.in_flight.values())

    def overdue_attempts(self, now: float, timeout: float) -> list[int]:
        """Return the numbers of the attempts that have been in flight for at least `timeout` seconds."""
        return [number for number, attempt in self.in_flight.items() if now - attempt.sent_at >= timeout]

    def mark_timed_out(self, numbers: list[int]) -> set[int]:
        """Mark attempts as timed out, and return those that were not marked before."""
        new = set(numbers) - self._timed_out
        self._timed_out.update(numbers)
        return new

    def mark_given_up(self, numbers: list[int]) -> set[int]:
        """Mark attempts as given up, and return those that were not marked before."""
        new = set(numbers) - self._given_up
        self._given_up.update(numbers)
        return new

"""Pauses after failures in a row, by scope, each twice as long as the one before, up to a limit."""

from __future__ import annotations

from collections.abc import Iterator

MAX_DOUBLINGS = 10  # any limit in use is reached long before


class FailureBackoff:
    """The pauses of one endpoint. Times in seconds."""

    __slots__ = ("_first", "_longest", "failures")

    def __init__(self, first: float, longest: float) -> None:
        self._first = first
        self._longest = longest
        self.failures: dict[str, tuple[int, float]] = {}  # by scope: failures in a row, end of the pause

    def __bool__(self) -> bool:
        """Whether any scope has failed since it last succeeded."""
        return bool(self.failures)

    def on_success(self, scopes: tuple[str, ...]) -> None:
        """End the pauses of these scopes."""
        for scope in scopes if self.failures else ():
            self.failures.pop(scope, None)

    def on_failure(self, scope: str, now: float) -> None:
        """Begin a pause of this scope, longer than its last one if it has not succeeded since."""
        failures = self.failures.get(scope, (0, 0.0))[0] + 1
        pause = min(self._longest, self._first * 2.0 ** min(failures - 1, MAX_DOUBLINGS))
        self.failures[scope] = failures, now + pause

    def is_paused(self, scopes: tuple[str, ...], now: float) -> bool:
        """Return whether any of these scopes is paused."""
        return any(now < self.failures.get(scope, (0, 0.0))[1] for scope in scopes)

    def pauses(self) -> Iterator[tuple[str, float]]:
        """Iterate over scopes that have failed and the ends of their pauses, which may be over."""
        return ((scope, until) for scope, (_, until) in self.failures.items())

"""Exponential backoff by scope: each consecutive failure doubles the pause, up to a limit."""

from __future__ import annotations

from collections.abc import Iterator

MAX_DOUBLINGS = 10  # the limits in use are reached with far fewer


class FailureBackoff:
    """The backoff of one endpoint. Times are in seconds."""

    __slots__ = ("_initial_pause", "_max_pause", "failures")

    def __init__(self, initial_pause: float, max_pause: float) -> None:
        self._initial_pause = initial_pause
        self._max_pause = max_pause
        self.failures: dict[str, tuple[int, float]] = {}  # by scope: consecutive failures, end of the pause

    def __bool__(self) -> bool:
        """Return whether any scope has failed since its last success."""
        return bool(self.failures)

    def on_success(self, scopes: tuple[str, ...]) -> None:
        """End the pauses of these scopes."""
        for scope in scopes if self.failures else ():
            self.failures.pop(scope, None)

    def on_failure(self, scope: str, now: float) -> None:
        """Begin a pause of this scope, longer than the last one if there was no success since."""
        failures = self.failures.get(scope, (0, 0.0))[0] + 1
        pause = min(self._max_pause, self._initial_pause * 2.0 ** min(failures - 1, MAX_DOUBLINGS))
        self.failures[scope] = failures, now + pause

    def is_paused(self, scopes: tuple[str, ...], now: float) -> bool:
        """Return whether any of these scopes is paused."""
        return any(now < self.failures.get(scope, (0, 0.0))[1] for scope in scopes)

    def pauses(self) -> Iterator[tuple[str, float]]:
        """Iterate over the scopes that have failed and the ends of their pauses, including past ones."""
        return ((scope, until) for scope, (_, until) in self.failures.items())

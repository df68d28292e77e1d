"""Processor sharing: all tasks in service progress at the same pace."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from apigateway.messages import AttemptResult
from apigateway.simulation.clock import SimulatedClock

MIN_PACE = 1e-9  # core seconds per second; keeps the time to the next completion finite


class HostTask:
    """A request at a host.

    Attributes:
        work: Core seconds that it takes.
        on_done: Called once with the result, unless the task is cancelled or the host fails.
    """

    __slots__ = ("is_over", "is_running", "on_done", "work")

    def __init__(self, work: float, on_done: Callable[[AttemptResult], None]) -> None:
        self.work = work
        self.on_done = on_done
        self.is_running = False
        self.is_over = False


class RunningTask(NamedTuple):
    """A heap entry of a task in service, ordered by completion."""

    completes_at: float  # attained service at which the task completes
    sequence: int
    task: HostTask


class SharedProcessor:
    """Serves all tasks at the same pace, and determines which completes next.

    The heap contains the attained service at which each task completes instead of a time, so that a change of
    the pace does not change its order.

    Attributes:
        active_count: Number of tasks in service.
        pace: Core seconds per second that each task in service gets.
    """

    def __init__(self, clock: SimulatedClock) -> None:
        self._clock = clock
        self._running: list[RunningTask] = []
        self._started_count = 0
        self._attained_service = 0.0  # core seconds of a task that has been in service from the start
        self._updated_at = clock.now
        self.active_count = 0
        self.pace = 1.0

    def advance(self) -> None:
        """Add the service since the last call; must be called before the pace or the tasks change."""
        self._attained_service += (self._clock.now - self._updated_at) * self.pace
        self._updated_at = self._clock.now

    def start(self, task: HostTask) -> None:
        """Put a task into service."""
        self._started_count += 1
        self.active_count += 1
        task.is_running = True
        completes_at = self._attained_service + task.work
        heapq.heappush(self._running, RunningTask(completes_at, self._started_count, task))

    def cancel(self, task: HostTask) -> None:
        """Remove a task from service."""
        task.is_over = True
        self.active_count -= 1

    def drop_cancelled(self) -> None:
        """Remove cancelled tasks from the front of the heap."""
        while self._running and self._running[0].task.is_over:
            heapq.heappop(self._running)

    def time_to_next_completion(self) -> float | None:
        """Return the seconds until the next task completes at this pace, or None if there is none."""
        if not self._running:
            return None
        remaining_service = self._running[0].completes_at - self._attained_service
        return remaining_service / max(self.pace, MIN_PACE)

    def complete_next(self) -> HostTask:
        """Remove the task that completes next from service, and return it."""
        task = heapq.heappop(self._running).task
        task.is_over = True
        self.active_count -= 1
        return task

    def clear(self) -> None:
        """Drop all tasks."""
        for running in self._running:
            running.task.is_over = True
        self._running.clear()
        self.active_count = 0

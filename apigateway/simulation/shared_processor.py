"""Processor sharing: all tasks in service get the same pace."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from apigateway.messages import AttemptResult
from apigateway.simulation.clock import SimulatedClock

MIN_PACE = 1e-9  # core seconds a second; keeps the time of the next completion finite


class HostTask:
    """A request at a host.

    Attributes:
        work: Core seconds that it takes.
        on_done: Called with the result, once, unless the task was cancelled or the host died.
    """

    __slots__ = ("is_over", "is_running", "on_done", "work")

    def __init__(self, work: float, on_done: Callable[[AttemptResult], None]) -> None:
        self.work = work
        self.on_done = on_done
        self.is_running = False
        self.is_over = False


class RunningTask(NamedTuple):
    """An entry of the heap of tasks in service, ordered by when they complete."""

    completes_at: float  # attained service at which it is done
    sequence: int
    task: HostTask


class SharedProcessor:
    """Serves tasks at one pace, and knows which is done next.

    The heap holds the attained service at which each task is done in place of a time, so that a change of the
    pace moves no entry.

    Attributes:
        active: Tasks in service.
        pace: Core seconds a second that each task in service gets.
    """

    def __init__(self, clock: SimulatedClock) -> None:
        self._clock = clock
        self._running: list[RunningTask] = []
        self._started_tasks = 0
        self._attained_service = 0.0  # core seconds that a task has had which was always in service
        self._updated_at = clock.now
        self.active = 0
        self.pace = 1.0

    def advance(self) -> None:
        """Account for the service since the last call; due before the pace or the tasks change."""
        self._attained_service += (self._clock.now - self._updated_at) * self.pace
        self._updated_at = self._clock.now

    def start(self, task: HostTask) -> None:
        """Take a task into service."""
        self._started_tasks += 1
        self.active += 1
        task.is_running = True
        completes_at = self._attained_service + task.work
        heapq.heappush(self._running, RunningTask(completes_at, self._started_tasks, task))

    def cancel(self, task: HostTask) -> None:
        """Take a task out of service."""
        task.is_over = True
        self.active -= 1

    def drop_cancelled(self) -> None:
        """Forget the cancelled tasks that stand before the next completion."""
        while self._running and self._running[0].task.is_over:
            heapq.heappop(self._running)

    def time_to_next_completion(self) -> float | None:
        """Return the seconds until the next task is done at this pace; None if there is none."""
        if not self._running:
            return None
        remaining_service = self._running[0].completes_at - self._attained_service
        return remaining_service / max(self.pace, MIN_PACE)

    def complete_next(self) -> HostTask:
        """Take the task out of service that is done next, and return it."""
        task = heapq.heappop(self._running).task
        task.is_over = True
        self.active -= 1
        return task

    def clear(self) -> None:
        """Lose all tasks."""
        for running in self._running:
            running.task.is_over = True
        self._running.clear()
        self.active = 0

"""A simulated host: requests that share its cores, a queue, slow start, overload, and failure modes."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from apigateway import messages
from apigateway.simulation.arrival_window import Arrival, ArrivalWindow
from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.idle_capacity import HostUsage, IdleCapacityMeter
from apigateway.simulation.load_report import LoadReporter
from apigateway.simulation.network import Location
from apigateway.simulation.results import AttemptResult
from apigateway.simulation.scenario import HostSettings

SLOW_START_STEP_S = 0.25  # how often the speed of a host that is warming up is computed anew
ERROR_LATENCY_S = 0.001  # of a host that answers with an error at once
REJECTION_LATENCY_S = 0.0002  # of a host that is full
MIN_SERVICE_RATE = 1e-9  # core seconds a second; keeps the time of the next completion finite


class HostMode(StrEnum):
    """What a host does with requests."""

    UP = "up"
    HANGING = "hang"  # accepts requests and makes no progress
    ERRORING = "err"
    FULL = "full"
    DEAD = "dead"


class HostHardware(NamedTuple):
    """What a host is made of."""

    cores: float
    speed: float  # core seconds of work that a core does in a second


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

    completes_at: float  # value of the host's attained service at which it is done
    sequence: int
    task: HostTask


class SimulatedHost:
    """A host that shares its cores evenly between the requests in its slots (processor sharing).

    Attributes:
        endpoint: The host as the endpoint list has it.
        mode: What it does with requests; change it by `set_mode`.
        active: Requests in slots.
        queued: Requests that wait for a slot.
        accepted: Requests accepted since the start.
        max_in_flight: The most that were in slots and waiting at once.
        is_silent: Whether, while it is dead, connections to it time out in place of being refused.
        refused_gateways: Indices of the gateways whose connections it refuses.
        reporter: Its load reports.
    """

    def __init__(
        self,
        clock: SimulatedClock,
        settings: HostSettings,
        endpoint: messages.Endpoint,
        hardware: HostHardware,
        rules: messages.Rules,
        idle_meter: IdleCapacityMeter,
        rng: random.Random,
        on_overload: Callable[[str, float], None],
    ) -> None:
        """Start the host.

        Args:
            clock: The simulated time.
            settings: What all hosts have in common.
            endpoint: The host as the endpoint list has it.
            hardware: Its own cores and speed.
            rules: The slow start that it is allowed and the overload that it bears meanwhile.
            idle_meter: Is told of its usage.
            rng: Draws its reports' times and noise.
            on_overload: Called with the host's id and the share of its requests that came from gateways
                which knew of its start, when it dies by overload.
        """
        self._clock = clock
        self._rules = rules
        self._idle_meter = idle_meter
        self._rng = rng
        self._on_overload = on_overload
        self.settings = settings
        self.endpoint = endpoint
        self.cores = hardware.cores
        self._speed = hardware.speed
        self._speed_factor = 1.0
        self._slots = max(1, round(settings.slots * self.cores / settings.cores))
        self._queue_size = round(settings.queue * self.cores / settings.cores)
        self.location = Location(endpoint.id, endpoint.zone)
        self.mode = HostMode.UP
        self.is_silent = False
        self.refused_gateways: set[int] = set()
        self.reporter = LoadReporter(clock, settings, self.cores, rng)
        self._arrivals = ArrivalWindow(rules.overload_duration)

        self.active = 0
        self.queued = 0
        self.accepted = 0
        self.max_in_flight = 0
        self._running: list[RunningTask] = []
        self._waiting: deque[HostTask] = deque()
        self._started_tasks = 0
        self._attained_service = 0.0  # core seconds that each task in service has had since the host's start
        self._service_rate = 1.0  # core seconds a second that each task in service gets
        self._service_updated_at = clock.now
        self._schedule_version = 0  # a scheduled completion is void once this has advanced
        self._usage = HostUsage(0.0, 0.0, 0.0)

        self._update_usage()
        clock.call_later(rng.random() * settings.report_period, self._report_load)
        if self.slow_start_factor() < 1:
            clock.call_later(SLOW_START_STEP_S, self._warm_up)

    # Capacity

    def slow_start_factor(self) -> float:
        """Return the share of its capacity that it has reached since its start."""
        duration = self._rules.slow_start_duration
        age = self._clock.now - self.endpoint.started_at
        if self.endpoint.started_at <= 0 or age >= duration:
            return 1.0
        initial = self._rules.initial_capacity
        return initial + (1 - initial) * age / duration

    def capacity(self) -> float:
        """Return the core seconds of work that it does in a second."""
        return self.cores * self._speed * self._speed_factor * self.slow_start_factor()

    def load_per_core(self) -> float:
        """Return the requests that it holds for each core."""
        return (self.active + self.queued) / self.cores

    def _warm_up(self) -> None:
        self._reschedule()
        if self.slow_start_factor() < 1 and self.mode is not HostMode.DEAD:
            self._clock.call_later(SLOW_START_STEP_S, self._warm_up)

    # Requests

    def accept(self, task: HostTask, sender_knew_start: bool = True) -> None:
        """Take a request, or answer it at once.

        Args:
            task: The request.
            sender_knew_start: Whether its gateway had been told of the host's last start.
        """
        if self.mode is HostMode.DEAD:
            task.is_over = True
            return
        if self.mode is HostMode.ERRORING:
            self._clock.call_later(ERROR_LATENCY_S, task.on_done, AttemptResult.ERROR)
            return
        if self.mode is HostMode.FULL or self.active + self.queued >= self._slots + self._queue_size:
            self._clock.call_later(REJECTION_LATENCY_S, task.on_done, AttemptResult.FULL)
            return
        self.accepted += 1
        self._arrivals.add(Arrival(self._clock.now, task.work, sender_knew_start))
        if self._is_overloaded():
            task.is_over = True
            self._die_of_overload()
            return
        self.queued += 1
        self._waiting.append(task)
        self._reschedule()
        self.max_in_flight = max(self.max_in_flight, self.active + self.queued)

    def cancel(self, task: HostTask) -> None:
        """Drop a request; nobody is told."""
        if task.is_over:
            return
        task.is_over = True
        if task.is_running:
            self.active -= 1
        else:
            self.queued -= 1
        self._reschedule()

    def refuses_connection(self, gateway: int) -> bool:
        """Return whether a connection from this gateway is refused at once."""
        return (self.mode is HostMode.DEAD and not self.is_silent) or gateway in self.refused_gateways

    def _is_overloaded(self) -> bool:
        """Return whether it is warming up and was sent more than the rules say that it bears."""
        if self.slow_start_factor() == 1:
            return False
        rules = self._rules
        return self._arrivals.exceeds(rules.overload_multiple * rules.overload_duration * self.capacity())

    def _die_of_overload(self) -> None:
        informed_share = self._arrivals.informed_share()
        self.stop()
        self._on_overload(self.endpoint.id, informed_share)

    # Processor sharing

    def _accrue_service(self) -> None:
        self._attained_service += (self._clock.now - self._service_updated_at) * self._service_rate
        self._service_updated_at = self._clock.now

    def _reschedule(self) -> None:
        """Fill free slots, compute the pace anew, and schedule the next completion."""
        self._accrue_service()
        while self._running and self._running[0].task.is_over:
            heapq.heappop(self._running)
        while self.queued and self.active < self._slots:
            task = self._waiting.popleft()
            if not task.is_over:
                self.queued -= 1
                self._run(task)
        self._service_rate = self._rate_per_task()
        self._update_usage()
        self._schedule_version += 1
        if self._running and self.mode not in (HostMode.HANGING, HostMode.DEAD):
            remaining_service = self._running[0].completes_at - self._attained_service
            delay = remaining_service / max(self._service_rate, MIN_SERVICE_RATE)
            self._clock.call_later(delay, self._complete_next, self._schedule_version)

    def _rate_per_task(self) -> float:
        core_share = min(1.0, self.cores / self.active) if self.active else 1.0
        crowding = max(0.0, self.active - self.cores) / max(1.0, self._slots - self.cores)
        return core_share * self.capacity() / self.cores * (1 - self.settings.thrash * crowding)

    def _run(self, task: HostTask) -> None:
        self._started_tasks += 1
        self.active += 1
        task.is_running = True
        completes_at = self._attained_service + task.work
        heapq.heappush(self._running, RunningTask(completes_at, self._started_tasks, task))

    def _complete_next(self, schedule_version: int) -> None:
        if schedule_version != self._schedule_version:
            return
        self._accrue_service()
        task = heapq.heappop(self._running).task
        task.is_over = True
        self.active -= 1
        self._reschedule()
        task.on_done(AttemptResult.OK)

    # Failure modes

    def set_mode(self, mode: HostMode) -> None:
        """Change what it does with requests; a dead host stays dead."""
        if self.mode is not HostMode.DEAD:
            self._accrue_service()
            self.mode = mode
            self._reschedule()

    def set_speed_factor(self, factor: float) -> None:
        """Make it work at `factor` of its own speed."""
        self._accrue_service()
        self._speed_factor = factor
        self._reschedule()

    def stop(self) -> None:
        """Die: all requests are gone, and no gateway is told."""
        self.mode = HostMode.DEAD
        for running in self._running:
            running.task.is_over = True
        for task in self._waiting:
            task.is_over = True
        self._running.clear()
        self._waiting.clear()
        self.active = 0
        self.queued = 0
        self._schedule_version += 1
        self._update_usage()

    def restart(self, endpoint: messages.Endpoint) -> None:
        """Come back empty, as `endpoint` in the endpoint list."""
        self.endpoint = endpoint
        self.mode = HostMode.UP
        self.is_silent = False
        self._arrivals.clear()
        self.reporter.report = {}
        self._update_usage()
        self._clock.call_later(self._rng.random() * self.settings.report_period, self._report_load)
        if self.slow_start_factor() < 1:
            self._warm_up()

    # Reporting

    def _update_usage(self) -> None:
        """Tell the meters what is busy and waiting here now."""
        if self.mode is HostMode.DEAD:
            usage = HostUsage(0.0, 0.0, 0.0)
        else:
            busy = min(self.cores, self.active)
            waiting = max(0.0, self.active - self.cores) + self.queued
            usage = HostUsage(self.cores, busy, waiting)
        if usage != self._usage:
            self.reporter.set_busy_cores(usage.busy)
            self._idle_meter.replace_usage(self._usage, usage)
            self._usage = usage

    def _report_load(self) -> None:
        if self.mode is HostMode.DEAD:
            return
        self.reporter.sample(queued=self.queued, in_flight=self.active + self.queued)
        self._clock.call_later(self.settings.report_period, self._report_load)

"""A simulated host: requests sharing its cores, a queue, slow start, overload and failure modes."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from apigateway import messages
from apigateway.messages import AttemptResult
from apigateway.simulation.arrival_window import Arrival, ArrivalWindow
from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.idle_capacity import HostUsage, IdleCapacityMeter
from apigateway.simulation.load_report import LoadReporter
from apigateway.simulation.network import Location
from apigateway.simulation.scenario import HostSettings
from apigateway.simulation.shared_processor import HostTask, SharedProcessor

SLOW_START_STEP_S = 0.25  # interval at which the speed of a host in slow start is updated
ERROR_LATENCY_S = 0.001  # of an immediate error
REJECTION_LATENCY_S = 0.0002  # of a rejection by a full host


class HostMode(StrEnum):
    """How a host handles requests."""

    UP = "up"
    HANGING = "hang"  # accepts requests and makes no progress
    ERRORING = "err"
    FULL = "full"
    DEAD = "dead"


class HostHardware(NamedTuple):
    """The hardware of a host."""

    cores: float
    speed: float  # core seconds of work per second and core


class SimulatedHost:
    """A host whose cores are shared equally by the requests in its slots (processor sharing).

    Attributes:
        endpoint: The host in the endpoint list.
        mode: How it handles requests; changed by `set_mode`.
        queued_count: Requests that wait for a slot.
        accepted_count: Requests accepted since the start.
        max_in_flight: Maximum of `in_flight` since the start.
        is_silent: Whether connections to it time out instead of being refused while it is dead.
        refused_gateways: Indexes of the gateways whose connections it refuses.
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
            settings: Settings of all hosts.
            endpoint: The host in the endpoint list.
            hardware: Its cores and speed.
            rules: Define its slow start and the overload that it tolerates during slow start.
            idle_meter: Receives its usage.
            rng: Draws the times and the noise of its reports.
            on_overload: Called when it fails by overload, with its id and the share of its requests that
                came from gateways which knew of its latest start.
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

        self.queued_count = 0
        self.accepted_count = 0
        self.max_in_flight = 0
        self._waiting: deque[HostTask] = deque()
        self._processor = SharedProcessor(clock)
        self._schedule_version = 0  # a scheduled completion with an older version is ignored
        self._usage = HostUsage(0.0, 0.0, 0.0)

        self._update_usage()
        clock.call_later(rng.random() * settings.report_period, self._report_load)
        if self.slow_start_factor() < 1:
            clock.call_later(SLOW_START_STEP_S, self._warm_up)

    # Capacity

    def slow_start_factor(self) -> float:
        """Return the share of its full capacity that it has reached since its start."""
        duration = self._rules.slow_start_duration
        age = self._clock.now - self.endpoint.started_at
        if self.endpoint.started_at <= 0 or age >= duration:
            return 1.0
        initial = self._rules.initial_capacity
        return initial + (1 - initial) * age / duration

    def capacity(self) -> float:
        """Return its capacity in core seconds of work per second."""
        return self.cores * self._speed * self._speed_factor * self.slow_start_factor()

    @property
    def in_flight(self) -> int:
        """Return the number of requests in slots and in the queue."""
        return self._processor.active_count + self.queued_count

    def load_per_core(self) -> float:
        """Return the number of requests per core."""
        return self.in_flight / self.cores

    def _warm_up(self) -> None:
        self._reschedule()
        if self.slow_start_factor() < 1 and self.mode is not HostMode.DEAD:
            self._clock.call_later(SLOW_START_STEP_S, self._warm_up)

    # Requests

    def accept(self, task: HostTask, sender_knew_start: bool = True) -> None:
        """Accept a request, or answer it at once.

        Args:
            task: The request.
            sender_knew_start: Whether its gateway knew of the host's latest start.
        """
        if self.mode is HostMode.DEAD:
            task.is_over = True
            return
        if self.mode is HostMode.ERRORING:
            self._clock.call_later(ERROR_LATENCY_S, task.on_done, AttemptResult.ERROR)
            return
        if self.mode is HostMode.FULL or self.in_flight >= self._slots + self._queue_size:
            self._clock.call_later(REJECTION_LATENCY_S, task.on_done, AttemptResult.REJECTED)
            return
        self.accepted_count += 1
        self._arrivals.add(Arrival(self._clock.now, task.work, sender_knew_start))
        if self._is_overloaded():
            task.is_over = True
            self._fail_by_overload()
            return
        self.queued_count += 1
        self._waiting.append(task)
        self._reschedule()
        self.max_in_flight = max(self.max_in_flight, self.in_flight)

    def cancel(self, task: HostTask) -> None:
        """Drop a request without a result."""
        if task.is_over:
            return
        if task.is_running:
            self._processor.cancel(task)
        else:
            task.is_over = True
            self.queued_count -= 1
        self._reschedule()

    def refuses_connection(self, gateway: int) -> bool:
        """Return whether a connection from this gateway is refused at once."""
        return (self.mode is HostMode.DEAD and not self.is_silent) or gateway in self.refused_gateways

    def _is_overloaded(self) -> bool:
        """Return whether it is in slow start and received more work than the rules say it tolerates."""
        if self.slow_start_factor() == 1:
            return False
        rules = self._rules
        return self._arrivals.exceeds(rules.overload_multiple * rules.overload_duration * self.capacity())

    def _fail_by_overload(self) -> None:
        informed_share = self._arrivals.informed_share()
        self.stop()
        self._on_overload(self.endpoint.id, informed_share)

    # Scheduling

    def _reschedule(self) -> None:
        """Fill free slots, update the pace, and schedule the next completion."""
        processor = self._processor
        processor.advance()
        processor.drop_cancelled()
        while self.queued_count and processor.active_count < self._slots:
            task = self._waiting.popleft()
            if not task.is_over:
                self.queued_count -= 1
                processor.start(task)
        processor.pace = self._pace()
        self._update_usage()
        self._schedule_version += 1
        delay = processor.time_to_next_completion()
        if delay is not None and self.mode not in (HostMode.HANGING, HostMode.DEAD):
            self._clock.call_later(delay, self._complete_next, self._schedule_version)

    def _pace(self) -> float:
        """Return the core seconds per second that each task in a slot gets."""
        active = self._processor.active_count
        core_share = min(1.0, self.cores / active) if active else 1.0
        crowding = max(0.0, active - self.cores) / max(1.0, self._slots - self.cores)
        return core_share * self.capacity() / self.cores * (1 - self.settings.thrash * crowding)

    def _complete_next(self, schedule_version: int) -> None:
        if schedule_version != self._schedule_version:
            return
        self._processor.advance()
        task = self._processor.complete_next()
        self._reschedule()
        task.on_done(AttemptResult.OK)

    # Failure modes

    def set_mode(self, mode: HostMode) -> None:
        """Change how it handles requests; a dead host stays dead."""
        if self.mode is not HostMode.DEAD:
            self._processor.advance()
            self.mode = mode
            self._reschedule()

    def set_speed_factor(self, factor: float) -> None:
        """Set its speed to `factor` times its normal speed."""
        self._processor.advance()
        self._speed_factor = factor
        self._reschedule()

    def stop(self) -> None:
        """Stop: all requests are lost, and no gateway is notified."""
        self.mode = HostMode.DEAD
        self._processor.clear()
        for task in self._waiting:
            task.is_over = True
        self._waiting.clear()
        self.queued_count = 0
        self._schedule_version += 1
        self._update_usage()

    def restart(self, endpoint: messages.Endpoint) -> None:
        """Restart without requests, as `endpoint` in the endpoint list."""
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
        """Update the meters with the busy and waiting work."""
        if self.mode is HostMode.DEAD:
            usage = HostUsage(0.0, 0.0, 0.0)
        else:
            active = self._processor.active_count
            busy = min(self.cores, active)
            waiting = max(0.0, active - self.cores) + self.queued_count
            usage = HostUsage(self.cores, busy, waiting)
        if usage != self._usage:
            self.reporter.set_busy_cores(usage.busy)
            self._idle_meter.replace_usage(self._usage, usage)
            self._usage = usage

    def _report_load(self) -> None:
        if self.mode is HostMode.DEAD:
            return
        self.reporter.sample(queued=self.queued_count, in_flight=self.in_flight)
        self._clock.call_later(self.settings.report_period, self._report_load)

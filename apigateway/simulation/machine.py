"""One host: requests that share its cores, a queue, a cold start, falling over, reports that are old."""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable

from apigateway import messages
from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.network import Location
from apigateway.simulation.scenario import HostSettings

STEP = 0.25  # s; how often the speed of a host that warms up is taken anew


class Load:
    """Over all hosts: core time that idles while as much work waits at another host."""

    def __init__(self, clock: SimulatedClock) -> None:
        self.clock, self.cores, self.busy, self.waiting = clock, 0.0, 0.0, 0.0
        self.since, self.wasted, self.total = clock.now, 0.0, 0.0

    def change(self, cores: float, busy: float, waiting: float) -> None:
        self.note()
        self.cores += cores
        self.busy += busy
        self.waiting += waiting

    def note(self) -> None:
        step, self.since = self.clock.now - self.since, self.clock.now
        self.wasted += step * min(self.cores - self.busy, self.waiting)
        self.total += step * self.cores


class Task:
    """A request at a host. `done` is called with its outcome's name, once, unless it was cancelled."""

    __slots__ = ("work", "done", "running", "over", "end")

    def __init__(self, work: float, done: Callable[[str], None]) -> None:
        self.work, self.done, self.running, self.over, self.end = work, done, False, False, 0.0


class Machine:
    """`cores` may differ from the spec's. What it can do is shared evenly by what it works on."""

    def __init__(
        self,
        clock: SimulatedClock,
        spec: HostSettings,
        host: messages.Endpoint,
        cores: float,
        speed: float,
        load: Load,
        rules: messages.Rules,
        rng: random.Random,
        fell: Callable[[str, float], None],
    ) -> None:
        self.told_fall = fell
        self.clock, self.spec, self.host, self.cores, self.load = clock, spec, host, cores, load
        self.rules, self.rng, self.base = rules, rng, speed
        self.mode, self.factor = "up", 1.0  # mode: up, hang, err, full, dead; factor of its speed in trouble
        self.slots = max(1, round(spec.slots * cores / spec.cores))
        self.queue = round(spec.queue * cores / spec.cores)
        self.running: list[tuple[float, int, Task]] = []
        self.number, self.active, self.held = 0, 0, 0  # active: in slots; held: waiting for one
        self.waiting: deque[Task] = deque()
        self.done_each, self.since = 0.0, clock.now  # core seconds that each running one has had
        self.turn = 0
        self.rate = 1.0
        self.arrived: deque[tuple[float, float, bool]] = deque()  # when, work, by one told of its start
        self.sent = 0.0
        self.connections = 0
        self.report: dict[str, float] = {}
        self.busy_time, self.busy_at, self.lies = 0.0, clock.now, False
        self.taken = self.served = 0
        self.longest = 0
        self.fell = self.dark = False  # dark: dead, and nobody is told by a reset or a refusal
        self.refuses: set[int] = set()  # gateways whose connections it refuses
        self.behind = 0.0  # s that its reports come later than they would
        self.place = Location(host.id, host.zone)
        self.noted = (0.0, 0.0, 0.0)
        self.account()
        clock.call_later(rng.random() * spec.report_period, self.refresh)
        if self.warmth() < 1:
            clock.call_later(STEP, self.warm)

    # What it can do

    def warmth(self) -> float:
        age = self.clock.now - self.host.started_at
        if self.host.started_at <= 0 or age >= self.rules.slow_start_duration:
            return 1.0
        return (
            self.rules.initial_capacity
            + (1 - self.rules.initial_capacity) * age / self.rules.slow_start_duration
        )

    def capacity(self) -> float:
        """Core seconds of work a second."""
        return self.cores * self.base * self.factor * self.warmth()

    def warm(self) -> None:
        self.move()
        if self.warmth() < 1 and self.mode != "dead":
            self.clock.call_later(STEP, self.warm)

    def account(self) -> None:
        """Tells the fleet's load what is busy here."""
        up = self.mode != "dead"
        now = (
            self.cores * up,
            min(self.cores, self.active) * up,
            (max(0.0, self.active - self.cores) + self.held) * up,
        )
        if now != self.noted:
            was = self.noted
            self.busy_time += was[1] * (self.clock.now - self.busy_at)
            self.busy_at = self.clock.now
            self.load.change(now[0] - was[0], now[1] - was[1], now[2] - was[2])
            self.noted = now

    def progress(self) -> None:
        self.done_each += (self.clock.now - self.since) * self.rate
        self.since = self.clock.now

    def move(self) -> None:
        """What is active has changed: the pace of each, and when the next one is done."""
        self.progress()
        while self.running and self.running[0][2].over:
            heapq.heappop(self.running)
        while self.held and self.active < self.slots:
            task = self.waiting.popleft()
            if not task.over:
                self.held -= 1
                self.start(task)
        share = min(1.0, self.cores / self.active) if self.active else 1.0
        crowd = max(0.0, self.active - self.cores) / max(1.0, self.slots - self.cores)
        self.rate = share * self.capacity() / self.cores * (1 - self.spec.thrash * crowd)
        self.account()
        self.turn += 1
        if self.running and self.mode not in ("hang", "dead"):
            left = (self.running[0][0] - self.done_each) / max(self.rate, 1e-9)
            self.clock.call_later(left, self.finish, self.turn)

    def start(self, task: Task) -> None:
        self.number += 1
        self.active += 1
        task.running, task.end = True, self.done_each + task.work
        heapq.heappush(self.running, (task.end, self.number, task))

    def finish(self, turn: int) -> None:
        if turn != self.turn:
            return
        self.progress()
        task = heapq.heappop(self.running)[2]
        task.over = True
        self.active -= 1
        self.served += 1
        self.move()
        task.done("ok")

    # What comes

    def offer(self, task: Task, told: bool = True) -> None:
        """Takes a request, or answers at once by its `done`. `told`: its gateway has heard of this start."""
        if self.mode == "dead":
            task.over = True
            return
        if self.mode == "err":
            self.clock.call_later(0.001, task.done, "error")
            return
        if self.mode == "full" or self.active + self.held >= self.slots + self.queue:
            self.clock.call_later(0.0002, task.done, "full")
            return
        self.taken += 1
        self.strain(task.work, told)
        if self.fell:
            task.over = True  # gone with all else
            return
        self.held += 1
        self.waiting.append(task)
        self.progress()
        self.move()
        self.longest = max(self.longest, self.active + self.held)

    def strain(self, work: float, told: bool) -> None:
        """A cold one falls over when for `fall_time` it is sent over `fall_multiple` of what it can do, with
        N + 3 sqrt N + 3 requests for chance, N being what that allows. The rule is broken where over two
        thirds of it came from gateways that had been told of its start."""
        now, rules = self.clock.now, self.rules
        self.arrived.append((now, work, told))
        self.sent += work
        while self.arrived[0][0] < now - rules.overload_duration:
            self.sent -= self.arrived.popleft()[1]
        if self.warmth() == 1:
            return
        mean = max(self.sent / len(self.arrived), 1e-9)
        most = (
            rules.overload_multiple * rules.overload_duration * self.capacity() / mean
        )  # requests of mean work
        if len(self.arrived) > most + 3 * math.sqrt(most) + 3:
            self.fell = True
            knew = sum(t for *_, t in self.arrived) / len(self.arrived)
            self.stop()
            self.told_fall(self.host.id, knew)

    def cancel(self, task: Task) -> None:
        if task.over:
            return
        task.over = True
        if task.running:
            self.active -= 1
        else:
            self.held -= 1
        self.move()

    def stop(self) -> None:
        """It dies: all that it held is gone, and nobody is told here."""
        self.mode = "dead"
        for task in [t for *_, t in self.running] + list(self.waiting):
            task.over = True
        self.running, self.active, self.held = [], 0, 0
        self.waiting.clear()
        self.turn += 1
        self.account()

    def restart(self, host: messages.Endpoint) -> None:
        """It is back, with nothing in it."""
        self.host, self.mode, self.dark, self.fell = host, "up", False, False
        self.arrived.clear()
        self.sent, self.report = 0.0, {}
        self.account()
        self.clock.call_later(self.rng.random() * self.spec.report_period, self.refresh)
        if self.warmth() < 1:
            self.warm()

    def refused(self, gateway: int) -> bool:
        """Whether a connection from there is refused at once."""
        return (self.mode == "dead" and not self.dark) or gateway in self.refuses

    # What it tells

    def refresh(self) -> None:
        if self.mode == "dead":
            return
        period, now = self.spec.report_period, self.clock.now
        busy = self.busy_time + self.noted[1] * (now - self.busy_at)
        self.busy_time, self.busy_at = 0.0, now
        noise = 1 + 0.07 * (2 * self.rng.random() - 1)
        figures = (
            {"queue": 0.0, "util": 0.0, "inflight": 0.0}
            if self.lies
            else {
                "queue": round(self.held * noise),
                "util": min(1.0, busy / period / self.cores * noise),
                "inflight": round((self.active + self.held) * noise),
            }
        )
        told = {k: float(v) for k, v in figures.items() if k in self.spec.reports}
        self.clock.call_later(self.spec.report_delay + self.behind, self.publish, told)
        self.clock.call_later(period, self.refresh)

    def publish(self, told: dict[str, float]) -> None:
        self.report = told

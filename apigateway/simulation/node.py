"""One gateway: its decision module, and what a core does with what the module decides, without sockets."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from apigateway import messages
from apigateway.simulation.clock import START_TIME
from apigateway.simulation.host import HostMode, HostTask, SimulatedHost
from apigateway.simulation.network import Location
from apigateway.simulation.quota_counter import CounterReply

if TYPE_CHECKING:
    from apigateway.simulation.world import World

WAY_BACK = 0.03  # s before the client gives up by which an attempt ends, as in a real core
CONNECT = 0.25  # s; a connection that does not come up by then is given up


class Module(Protocol):
    def handle(self, now: float, event: Any) -> list[Any]: ...


class Trying:
    """A client's try that this gateway has taken."""

    __slots__ = ("id", "size", "deadline", "answer", "sends", "live", "over", "attempts")

    def __init__(
        self, request: messages.Request, size: float, deadline: float, answer: Callable[[str, float], None]
    ) -> None:
        self.id, self.size, self.deadline, self.answer = request.request_id, size, deadline, answer
        self.sends, self.over = 0, False
        self.live: dict[int, Attempt] = {}
        self.attempts: list[Attempt] = []


class Attempt:
    __slots__ = ("trying", "number", "machine", "host", "since", "task", "over", "began", "turned")

    def __init__(self, trying: Trying, number: int, host: str, since: float) -> None:
        self.trying, self.number, self.host, self.since = trying, number, host, since
        self.machine: SimulatedHost | None = None
        self.task: HostTask | None = None
        # began: its last byte came to the host; turned: which said that it will not run
        self.over = self.began = self.turned = False

    @property
    def may_run(self) -> bool:
        return self.began and not self.turned


class Node:
    """`make` gives a new decision module: at its start, and at each later one."""

    def __init__(
        self, world: World, index: int, zone: str, make: Callable[[], Module], rng: random.Random
    ) -> None:
        self.world, self.index, self.make, self.rng = world, index, make, rng
        self.place = Location(f"g{index}", zone)
        self.alive, self.life, self.died = False, 0, world.clock.now
        self.module: Module | None = None
        self.tries: dict[str, Trying] = {}
        self.idle: dict[str, list[float]] = {}  # connections at rest at each host: since when
        self.version = 0
        self.told: dict[str, messages.Endpoint] = {}  # what it has heard of the hosts
        self.drains: dict[str, float] = {}  # hosts that it was told drain or are gone: when
        self.attempts_made = 0

    # Its life

    def start(self, known: tuple[messages.Endpoint, ...]) -> None:
        """`known`: the list as it last had it."""
        self.alive, self.life = True, self.life + 1
        self.module, self.tries, self.idle = self.make(), {}, {}
        self.feed(messages.EndpointList("cached", 1, known))

    def die(self) -> None:
        """All connections end: its hosts drop what waits, its clients are told."""
        self.alive, self.died = False, self.world.clock.now
        for trying in list(self.tries.values()):
            for attempt in list(trying.live.values()):
                self.give_up(attempt)
            self.back(trying, "lost", 0.0)
        self.tries, self.idle = {}, {}

    def listed(self, host: messages.Endpoint) -> None:
        if host.state != "up":
            self.drains.setdefault(host.id, self.world.clock.now)
        else:
            self.drains.pop(host.id, None)
        self.told[host.id] = host
        if self.alive:
            self.version += 1
            self.feed(messages.EndpointList("delta", self.version, (host,)))

    # Clients

    def take(self, request: messages.Request, size: float, answer: Callable[[str, float], None]) -> None:
        """`answer` gets "served", "refused" or "failed", and for a refusal when to come back."""
        left = request.remaining - WAY_BACK
        trying = Trying(request, size, self.world.clock.now + left, answer)
        self.tries[request.request_id] = trying
        self.world.clock.call_later(left + WAY_BACK - 0.01, self.overdue, trying)
        self.feed(
            messages.Request(
                request.request_id,
                left,
                request.customer,
                request.plan,
                request.service_class,
                request.units,
                request.first_gateway,
                request.gateway_spread,
                request.is_retry,
                request.is_write,
            )
        )

    def overdue(self, trying: Trying) -> None:
        if not trying.over and self.alive:
            self.world.figures.add("no decision")
            self.finish(trying, "failed", 0.0)
            self.feed(messages.ClientDisconnected(trying.id))

    def back(self, trying: Trying, answer: str, wait: float) -> None:
        if not trying.over:
            trying.over = True
            trying.answer(answer, wait)

    def finish(self, trying: Trying, answer: str, wait: float) -> None:
        self.back(trying, answer, wait)
        self.forget(trying)

    def forget(self, trying: Trying) -> None:
        if trying.over and not trying.live:
            self.tries.pop(trying.id, None)

    # The module

    def feed(self, event: Any) -> None:
        """Hands an event over and carries out what is decided. What that causes comes later by the clock."""
        if not self.alive or self.module is None:
            return
        for action in self.module.handle(self.world.clock.now, event):
            kind = type(action)
            if kind is messages.ForwardRequest:
                self.send(action)
            elif kind is messages.SetTimer:
                self.world.clock.call_later(action.delay + 1e-6, self.timer, self.life, action.label)
            elif kind is messages.AddToCounter:
                self.count(action)
            elif kind is messages.Reject or kind is messages.Fail:
                trying = self.tries.get(action.request_id)
                if trying is not None:
                    wait = action.retry_after if kind is messages.Reject else 0.0
                    self.finish(trying, "refused" if kind is messages.Reject else "failed", wait)
            elif kind is messages.CancelAttempt:
                self.cancel(action)
            elif kind is messages.CheckHealth:
                self.probe(action.endpoint_id)

    def timer(self, life: int, label: int) -> None:
        if life == self.life:
            self.feed(messages.TimerExpired(label))

    # Hosts

    def send(self, action: messages.ForwardRequest) -> None:
        trying, world = self.tries.get(action.request_id), self.world
        if trying is None or trying.over:
            return
        attempt = Attempt(trying, trying.sends, action.endpoint_id, world.clock.now)
        trying.sends += 1
        trying.live[attempt.number] = attempt
        trying.attempts.append(attempt)
        self.attempts_made += 1
        world.figures.add("attempts")
        world.judge.sends(self.place.name, attempt, self.drains.get(action.endpoint_id))
        machine = world.machines.get(action.endpoint_id)
        if (
            machine is None
            or machine.mode is HostMode.DEAD
            or world.network.is_partitioned(self.place, machine.location)
        ):
            world.figures.seconds[int(world.clock.now - START_TIME)]["in vain"] += 1
        if machine is None or machine.refuses_connection(self.index):
            world.clock.call_later(0.0005, self.ended, attempt, "connect_failed", self.life)
            return
        attempt.machine = machine
        world.clock.call_at(trying.deadline, self.patience_over, attempt, self.life)
        idle = self.idle.setdefault(machine.endpoint.id, [])
        while idle and world.clock.now - idle[-1] > machine.settings.idle_close:
            idle.clear()  # the newest has stood too long, so have the others
        if idle:
            idle.pop()
            self.go(attempt, 0.0, 0.0)
            return
        world.figures.add("connections")
        transit = world.network.transit_time(self.place, machine.location)
        is_lost = transit is None and machine.settings.handshake_trips > 0
        if is_lost or machine.is_silent:
            world.clock.call_later(CONNECT, self.ended, attempt, "connect_failed", self.life)
        else:
            extra = (transit or 0.0) * 2 * machine.settings.handshake_trips
            self.go(attempt, extra, machine.settings.handshake)

    def go(self, attempt: Attempt, after: float, work: float) -> None:
        machine = attempt.machine
        assert machine is not None
        way = self.world.network.transit_time(self.place, machine.location)
        if way is not None:  # else it is lost on the way
            self.world.clock.call_later(after + way, self.arrive, attempt, work, self.life)

    def arrive(self, attempt: Attempt, work: float, life: int) -> None:
        """Its last byte has come to the host."""
        machine = attempt.machine
        assert machine is not None
        if attempt.over:
            return
        if machine.mode is HostMode.DEAD:
            if not machine.is_silent:
                self.world.network.send(machine.location, self.place, self.ended, attempt, "reset", life)
            return
        attempt.began = True
        self.world.began(attempt)
        task = HostTask(attempt.trying.size + work, lambda result: self.answered(attempt, result, life))
        attempt.task = task
        known = self.told.get(attempt.host)
        machine.accept(task, known is not None and known.started_at >= machine.endpoint.started_at)

    def answered(self, attempt: Attempt, result: str, life: int) -> None:
        machine, attempt.turned = attempt.machine, result == "full"
        assert machine is not None
        report = dict(machine.reporter.report)
        self.world.network.send(machine.location, self.place, self.ended, attempt, result, life, report)

    def ended(self, attempt: Attempt, result: str, life: int, report: dict[str, float] | None = None) -> None:
        if life != self.life or attempt.over:
            return
        attempt.over = True
        trying, now = attempt.trying, self.world.clock.now
        trying.live.pop(attempt.number, None)
        over = trying.over
        if result in ("ok", "error", "full"):
            self.idle.setdefault(attempt.host, []).append(now)
        if result == "ok" and not over:
            self.back(trying, "served", 0.0)
        self.forget(trying)
        self.world.figures.add("outcome " + result)
        final = over or result == "ok"
        self.feed(
            messages.AttemptOutcome(
                trying.id,
                attempt.number,
                attempt.host,
                result,
                now - attempt.since,
                final,
                load_report=report or {},
            )
        )

    def give_up(self, attempt: Attempt) -> None:
        """Its connection is closed; a host stops work on it."""
        attempt.over = True
        machine = attempt.machine
        if machine is not None:
            self.world.network.send(self.place, machine.location, self.stop, attempt)

    def stop(self, attempt: Attempt) -> None:
        if attempt.task is not None and attempt.machine is not None:
            attempt.machine.cancel(attempt.task)

    def patience_over(self, attempt: Attempt, life: int) -> None:
        if attempt.over or life != self.life:
            return
        self.give_up(attempt)
        attempt.over = False
        self.ended(attempt, "timeout", life)

    def cancel(self, action: messages.CancelAttempt) -> None:
        trying = self.tries.get(action.request_id)
        attempt = trying.live.get(action.attempt) if trying is not None else None
        if attempt is not None and not attempt.over:
            self.give_up(attempt)
            attempt.over = False
            self.ended(attempt, "cancelled", self.life)

    def probe(self, host: str) -> None:
        """`INFO load`: a way there, its work, a way back."""
        world = self.world
        world.figures.add("probes")
        machine, since, life = world.machines.get(host), world.clock.now, self.life
        if machine is None or machine.refuses_connection(self.index):
            world.clock.call_later(0.0005, self.probed, host, "connect_failed", since, life, {})
            return
        world.clock.call_later(CONNECT, self.probed, host, "timeout", since, life, {})

        def there() -> None:
            if machine.mode in (HostMode.UP, HostMode.ERRORING, HostMode.FULL):
                world.network.send(
                    machine.location,
                    self.place,
                    self.probed,
                    host,
                    "ok",
                    since,
                    life,
                    dict(machine.reporter.report),
                )

        world.network.send(self.place, machine.location, there)

    def probed(self, host: str, result: str, since: float, life: int, report: dict[str, float]) -> None:
        key = host, since
        if life != self.life or key in self.world.probes_over:
            return
        if result != "timeout":
            self.world.probes_over.add(key)
        self.feed(messages.HealthCheckResult(host, result, self.world.clock.now - since, report))

    # The counter

    def count(self, action: messages.AddToCounter) -> None:
        world, since, life = self.world, self.world.clock.now, self.life
        world.figures.add("counter calls")
        timeout = world.scenario.counting.timeout
        open_ = [True]

        def told(result: str, total: float) -> None:
            if open_[0] and life == self.life:
                open_[0] = False
                self.feed(messages.CounterResult(action.counter_key, result, total, world.clock.now - since))

        def late() -> None:
            if open_[0]:
                world.figures.add("counter late")
            told("timeout", 0.0)

        def answer(reply: CounterReply) -> None:
            world.network.send(world.counter_place, self.place, told, reply.result, reply.total)

        world.clock.call_later(timeout, late)
        world.network.send(
            self.place,
            world.counter_place,
            world.quota_counter.add,
            action.counter_key,
            action.amount,
            action.lifetime,
            answer,
        )

"""One play: the parts put together, run over the timeline of faults, and measured."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from apigateway import messages
from apigateway.simulation import baselines, faults
from apigateway.simulation.clock import START_TIME, SimulatedClock, random_stream
from apigateway.simulation.demand import ClientCall, DemandGenerator
from apigateway.simulation.figures import Figures
from apigateway.simulation.host import HostHardware, SimulatedHost
from apigateway.simulation.idle_capacity import IdleCapacityMeter
from apigateway.simulation.judge import Judge
from apigateway.simulation.network import Location, Network
from apigateway.simulation.node import Attempt, Module, Node
from apigateway.simulation.quota_counter import QuotaCounter
from apigateway.simulation.scenario import Scenario

KEPT = 40  # states of each host that are kept for those that see old ones
LOOK = 0.05  # s between them


class World:
    """`make(settings, seed, now)` gives a decision module; it is not asked where the scenario names a
    baseline. The same scenario and seed play the same, whatever was played before."""

    def __init__(
        self, scenario: Scenario, seed: int, make: Callable[[messages.Settings, int, float], Module]
    ) -> None:
        self.scenario, self.seed, self.make = scenario, seed, make
        self.clock = SimulatedClock()
        self.rng = random_stream(seed, "world")
        self.network = Network(self.clock, scenario.distances, random_stream(seed, "links"))
        self.idle_meter, self.figures = IdleCapacityMeter(self.clock), Figures()
        self.quota_counter = QuotaCounter(self.clock, scenario.counting)
        self.counter_place = Location("counter", scenario.zones[0])
        self.classes = {w.cls.name: w.cls for w in scenario.works}
        self.machines: dict[str, SimulatedHost] = {}
        self.former: list[SimulatedHost] = []
        self.states: dict[str, list[float]] = {}
        self.probes_over: set[tuple[str, float]] = set()
        self.born, self.ending = 0, False
        self.times = 1.0  # of the usual load
        self.late = 0.0  # s on top of what the list takes
        plans = {plan.name: plan for plan in scenario.customers.plans}
        self.judge = Judge(self.clock, self.figures, scenario.rules, plans)
        self.open: dict[str, ClientCall] = {}  # tries without an answer
        spec = scenario.machines
        for n in range(spec.count):
            self.add_machine(scenario.zones[n % len(scenario.zones)], n // 6, 0.0)
        capacity = sum(m.capacity() for m in self.machines.values())
        self.demand = DemandGenerator(
            scenario, capacity, random_stream(seed, "demand"), random_stream(seed, "ways")
        )
        self.nodes = [self.node(n) for n in range(scenario.gateways)]

    # Parts

    def node(self, index: int) -> Node:
        settings, lives = self.scenario.settings(index), [0]

        def make() -> Module:
            lives[0] += 1
            rng = random_stream(self.seed, "module", index, lives[0])
            if not self.scenario.policy.startswith("module"):  # the module, of the program or of a file
                return baselines.Simple(self, self.scenario.policy, rng)
            return self.make(settings, rng.getrandbits(63), self.clock.now)

        return Node(self, index, settings.zone, make, random_stream(self.seed, "node", index))

    def add_machine(self, zone: str, cell: int, started: float) -> SimulatedHost:
        spec, rng = self.scenario.machines, random_stream(self.seed, "machine", self.born)
        big = rng.random() < spec.big
        cores = spec.cores * (2 if big else 1)
        host = messages.Endpoint(
            f"h{self.born}", zone, cell, 2.0 if big and spec.weights else 1.0, "k", "up", started
        )
        speed = math.exp(spec.speed_cv * rng.gauss(0, 1) - spec.speed_cv**2 / 2)
        machine = SimulatedHost(
            self.clock,
            spec,
            host,
            HostHardware(cores, speed),
            self.scenario.rules,
            self.idle_meter,
            rng,
            self.judge.fell,
        )
        self.machines[host.id] = machine
        self.born += 1
        return machine

    def tell(self, host: messages.Endpoint, sure: bool = False) -> None:
        """The list has changed: each gateway hears of it in its own time. `sure`: nobody misses it."""
        listing = self.scenario.listing
        for node in self.nodes:
            if sure or self.rng.random() >= listing.miss:
                wait = listing.late + self.late + listing.spread * self.rng.random()
                self.clock.call_later(wait, node.listed, host)

    def held(self, name: str, age: float) -> float:
        """What a host holds for each core, now or `age` seconds ago."""
        machine = self.machines.get(name)
        if machine is None:
            return math.inf
        if age:
            old = self.states.get(name)
            if old:
                return old[-min(len(old), max(1, round(age / LOOK)))]
        return machine.load_per_core()

    def look(self) -> None:
        for name, machine in self.machines.items():
            states = self.states.setdefault(name, [])
            states.append(machine.load_per_core())
            del states[:-KEPT]
        self.clock.call_later(LOOK, self.look)

    # Requests

    def arrive(self, ask: ClientCall) -> None:
        if self.ending:
            return
        following = self.demand.next_call(self.clock.now, self.times)
        self.clock.call_at(following.created_at, self.arrive, following)
        room = ask.customer.take_from_quota(ask.created_at)
        if self.figures.on:
            self.figures.add("firsts")
            self.figures.add("inside" if room else "beyond")
            self.figures.worth += room * ask.workload.cls.priority_weight * ask.customer.plan.price_weight
            self.figures.seconds[int(ask.created_at - START_TIME)]["inside"] += room
        self.attempt(ask, self.figures.on)

    def attempt(self, ask: ClientCall, counted: bool) -> None:
        """A client's try, through one of its customer's gateways."""
        ask.requests += 1
        cls, customer, spec = ask.workload.cls, ask.customer, self.scenario.customers
        node = self.nodes[self.demand.draw_gateway(customer)]
        if not node.alive and self.clock.now - node.died >= spec.notice:  # what deals them out has noticed
            ways = [
                self.nodes[(customer.first_gateway + n) % len(self.nodes)]
                for n in range(customer.gateway_spread)
            ]
            node = self.rng.choice([way for way in ways if way.alive] or [node])
        if counted:
            self.figures.counts["tries"] += 1
        if not node.alive:
            self.clock.call_later(0.001, self.told, ask, counted, "lost", 0.0)
            return
        left = spec.patience * cls.deadline
        name = f"{ask.number}.{ask.requests}"
        self.open[name] = ask
        request = messages.Request(
            name,
            left,
            customer.name,
            customer.plan.name,
            cls.name,
            1.0,
            customer.first_gateway,
            customer.gateway_spread,
            ask.requests > 1,
            cls.effect != "safe",
        )

        def answer(what: str, wait: float) -> None:
            del self.open[name]
            self.told(ask, counted, what, wait)

        node.take(request, ask.work, answer)

    def told(self, ask: ClientCall, counted: bool, answer: str, wait: float) -> None:
        """A try has its answer."""
        count = self.figures.counts
        if counted and answer == "refused":
            count["refused tries"] += 1
            count["refused with room"] += self.judge.room(ask.customer.name, ask.customer.plan.name, 0.0)
            second = self.figures.seconds[int(self.clock.now - START_TIME)]
            second["refused"] += 1
        again = answer in ("refused", "lost") or (answer == "failed" and ask.workload.cls.effect == "safe")
        spec = self.scenario.customers
        if (
            again
            and ask.requests <= spec.retries
            and self.clock.now - ask.created_at < ask.workload.cls.deadline
        ):
            rest = wait if wait and self.rng.random() < spec.honour else spec.wait * (0.5 + self.rng.random())
            self.clock.call_later(rest, self.attempt, ask, counted)
            return
        if not counted:
            return
        took, second = self.clock.now - ask.created_at, self.figures.seconds[int(ask.created_at - START_TIME)]
        if answer != "served":
            count["refused" if answer == "refused" else "failed"] += 1
        elif ask.is_within_quota:
            count["served"] += 1
            self.figures.times.append(took)
            if took <= ask.workload.cls.latency_objective:
                count["in aim"] += 1
                second["in aim"] += 1

    def began(self, attempt: Attempt) -> None:
        """An attempt's last byte has come to a host."""
        ask = self.open.get(attempt.trying.id)
        if ask is not None:  # else it was answered meanwhile
            inside = self.judge.began(attempt, ask.customer, ask.workload.cls)
            ask.is_within_quota = ask.is_within_quota if inside is None else inside

    def shift(self) -> None:
        """One customer after another comes by others of its gateways, each once in the scenario's time."""
        customers, every = self.demand.customers, self.scenario.customers.shift
        self.demand.draw_gateway_preference(customers[self.rng.randrange(len(customers))])
        self.clock.call_later(every / len(customers), self.shift)

    # The play

    def run(self) -> dict[str, Any]:
        """Plays it to its end and gives its figures."""
        s, clock = self.scenario, self.clock
        hosts = tuple(m.endpoint for m in self.machines.values())
        longest = max(c.deadline for c in self.classes.values())
        for node in self.nodes:
            node.told = {h.id: h for h in hosts}
            clock.call_later(self.rng.random() * s.start_spread, node.start, hosts)
        self.look()
        for fault in s.faults:
            clock.call_at(START_TIME + s.warm_up + fault.at, faults.begin, self, fault)
        if s.customers.shift:
            clock.call_later(s.customers.shift, self.shift)
        call = self.demand.next_call(clock.now, self.times)
        clock.call_at(call.created_at, self.arrive, call)
        clock.run_until(START_TIME + s.warm_up)
        self.figures.on = True
        self.idle_meter.reset()
        clock.run_until(START_TIME + s.warm_up + s.length)
        wasted = self.idle_meter.idle_share()
        self.figures.on = False  # what comes now is not counted, what came is played to its end
        self.ending = True
        clock.run_until(
            START_TIME + s.warm_up + s.length + (1 + s.customers.patience) * longest + s.customers.wait + 3
        )
        for name in self.open:
            self.judge.unanswered(name)
        return self.figures.summary(self.shape(wasted)) | {
            "seconds": self.figures.by_second(math.ceil(s.warm_up), math.floor(s.length))
        }

    def shape(self, wasted: float) -> dict[str, Any]:
        """How even it was: `most_host` is the busiest warm host's part of the requests against the mean."""
        warm = [m for m in self.machines.values() if m.endpoint.started_at == 0.0]
        taken = sorted(m.accepted for m in warm)
        mean = sum(taken) / max(1, len(taken))
        spoilt = [
            second["in aim"] / second["inside"]
            for second in self.figures.seconds.values()
            if second["inside"] >= 20
        ]
        return {
            "idle_waiting": wasted,
            "most_host": taken[-1] / mean if mean else 0.0,
            "longest": max((m.max_in_flight for m in self.machines.values()), default=0),
            "worst_second": min(spoilt, default=1.0),
        }

"""The hosts and gateways of a simulation, and the distribution of the endpoint list."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from apigateway import messages
from apigateway.simulation.baselines import BaselineModule, BaselinePolicy
from apigateway.simulation.clock import SimulatedClock, random_stream
from apigateway.simulation.decision_module import DecisionModule, ModuleFactory
from apigateway.simulation.gateway import SimulatedGateway
from apigateway.simulation.gateway_context import Environment
from apigateway.simulation.host import HostHardware, SimulatedHost
from apigateway.simulation.idle_capacity import IdleCapacityMeter
from apigateway.simulation.load_history import HostLoadHistory
from apigateway.simulation.metrics import LoadBalance, Metrics
from apigateway.simulation.network import Location, Network
from apigateway.simulation.quota_counter import QuotaCounter
from apigateway.simulation.rule_checker import RuleChecker
from apigateway.simulation.scenario import Scenario

HOSTS_PER_CELL = 6
BIG_HOST_FACTOR = 2.0  # of the cores and the weight of a big host
HOST_KIND = "k"
MODULE_POLICY = "module"  # the decision module; any other policy is a baseline


class Fleet:
    """Creates the hosts and gateways of a scenario, and distributes endpoint list changes.

    Attributes:
        environment: Shared by all gateways; its `hosts` are those of the fleet.
        gateways: All gateways by index.
        extra_list_delay: Additional delay of endpoint list changes, in seconds.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        clock: SimulatedClock,
        metrics: Metrics,
        rng: random.Random,
        make_module: ModuleFactory,
    ) -> None:
        """Create the fleet; it serves after `start`.

        Args:
            scenario: The scenario.
            seed: Seeds the random streams of hosts, links and decision modules.
            clock: The simulated time.
            metrics: Records the measurements.
            rng: Draws start times and delays.
            make_module: Creates a decision module from settings, a seed and the time.
        """
        self._scenario = scenario
        self._seed = seed
        self._clock = clock
        self._rng = rng
        self._make_module = make_module
        self._added_host_count = 0
        self._idle_meter = IdleCapacityMeter(clock)
        self.extra_list_delay = 0.0
        plans = {plan.name: plan for plan in scenario.customers.plans}
        self.environment = Environment(
            clock=clock,
            network=Network(clock, scenario.distances, random_stream(seed, "links")),
            metrics=metrics,
            rule_checker=RuleChecker(clock, metrics, scenario.rules, plans),
            quota_counter=QuotaCounter(clock, scenario.counting),
            counter_location=Location("counter", scenario.zones[0]),
            counter_timeout=scenario.counting.timeout,
        )
        self.hosts = self.environment.hosts
        self._load_history = HostLoadHistory(clock, self.hosts)
        for number in range(scenario.machines.count):
            zone = scenario.zones[number % len(scenario.zones)]
            self.add_host(zone, cell=number // HOSTS_PER_CELL, started_at=0.0)
        self.gateways = [self._new_gateway(index) for index in range(scenario.gateways)]

    def _new_gateway(self, index: int) -> SimulatedGateway:
        settings = self._scenario.settings(index)
        return SimulatedGateway(self.environment, index, settings.zone, self._module_factory(settings))

    def _module_factory(self, settings: messages.Settings) -> Callable[[], DecisionModule]:
        """Return a factory of the decision modules of one gateway, one for each incarnation."""
        incarnation = 0
        policy = self._scenario.policy

        def make() -> DecisionModule:
            nonlocal incarnation
            incarnation += 1
            rng = random_stream(self._seed, "module", settings.gateway_index, incarnation)
            if policy.startswith(MODULE_POLICY):
                return self._make_module(settings, rng.getrandbits(63), self._clock.now)
            return BaselineModule(
                self._scenario,
                BaselinePolicy.parse(policy),
                self._load_history,
                self.environment.rule_checker,
                rng,
            )

        return make

    def add_host(self, zone: str, cell: int, started_at: float) -> SimulatedHost:
        """Add a host, which gateways do not know until it is announced."""
        settings = self._scenario.machines
        rng = random_stream(self._seed, "machine", self._added_host_count)
        is_big = rng.random() < settings.big
        endpoint = messages.Endpoint(
            id=f"h{self._added_host_count}",
            zone=zone,
            cell=cell,
            weight=BIG_HOST_FACTOR if is_big and settings.weights else 1.0,
            kind=HOST_KIND,
            state=messages.EndpointStatus.UP,
            started_at=started_at,
        )
        hardware = HostHardware(
            cores=settings.cores * (BIG_HOST_FACTOR if is_big else 1),
            speed=math.exp(settings.speed_cv * rng.gauss(0, 1) - settings.speed_cv**2 / 2),
        )
        host = SimulatedHost(
            self._clock,
            settings,
            endpoint,
            hardware,
            self._scenario.rules,
            self._idle_meter,
            rng,
            self.environment.rule_checker.on_host_overloaded,
        )
        self.hosts[endpoint.id] = host
        self._added_host_count += 1
        return host

    def capacity(self) -> float:
        """Return the capacity of all hosts, in core seconds per second."""
        return sum(host.capacity() for host in self.hosts.values())

    def start(self) -> None:
        """Start all gateways with the current endpoint list, within `start_spread` seconds."""
        endpoints = tuple(host.endpoint for host in self.hosts.values())
        for gateway in self.gateways:
            gateway.set_known_endpoints(endpoints)
            delay = self._rng.random() * self._scenario.start_spread
            self._clock.call_later(delay, gateway.start, endpoints)
        self._load_history.start()

    def announce(self, endpoint: messages.Endpoint, reaches_all: bool = False) -> None:
        """Announce a change of the endpoint list, which reaches each gateway after a random delay.

        Args:
            endpoint: The host in its new state.
            reaches_all: Whether it reaches every gateway.
        """
        settings = self._scenario.listing
        miss = 0.0 if reaches_all else settings.miss
        for gateway in self.gateways:
            if miss and self._rng.random() < miss:
                continue
            delay = settings.late + self.extra_list_delay + settings.spread * self._rng.random()
            self._clock.call_later(delay, gateway.on_endpoint_changed, endpoint)

    def begin_measurement(self) -> None:
        """Begin to measure idle capacity."""
        self._idle_meter.reset()

    def idle_share(self) -> float:
        """Return the share of core time since `begin_measurement` that was idle while as much work waited."""
        return self._idle_meter.idle_share()

    def load_balance(self, idle_share: float) -> LoadBalance:
        """Return how evenly the hosts were used since the start; only warm ones count for the busiest."""
        accepted_counts = [
            host.accepted_count for host in self.hosts.values() if host.endpoint.started_at == 0.0
        ]
        mean = sum(accepted_counts) / max(1, len(accepted_counts))
        return LoadBalance(
            idle_share=idle_share,
            busiest_to_mean=max(accepted_counts) / mean if mean else 0.0,
            max_in_flight=max((host.max_in_flight for host in self.hosts.values()), default=0),
        )

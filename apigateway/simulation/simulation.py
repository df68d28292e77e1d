"""One simulation: creates its parts, runs them with the scheduled faults, and returns the figures."""

from __future__ import annotations

from typing import Any

from apigateway.simulation.client_traffic import ClientTraffic
from apigateway.simulation.clock import START_TIME, SimulatedClock, random_stream
from apigateway.simulation.decision_module import ModuleFactory
from apigateway.simulation.demand import DemandGenerator
from apigateway.simulation.faults import FaultInjector
from apigateway.simulation.fleet import Fleet
from apigateway.simulation.metrics import Metrics
from apigateway.simulation.scenario import Scenario

SETTLING_MARGIN_S = 3.0  # for the answers to the last requests


class Simulation:
    """Runs a scenario once. The same scenario and seed always produce the same figures.

    Attributes:
        clock: The simulated time.
        metrics: The measurements.
        fleet: The hosts and gateways.
        traffic: The clients.
    """

    def __init__(self, scenario: Scenario, seed: int, make_module: ModuleFactory) -> None:
        """Create the parts of the simulation.

        Args:
            scenario: The scenario.
            seed: Seeds all random streams.
            make_module: Creates decision modules; not called if the scenario names a baseline.
        """
        self._scenario = scenario
        rng = random_stream(seed, "world")
        self.clock = SimulatedClock()
        self.metrics = Metrics()
        self.fleet = Fleet(scenario, seed, self.clock, self.metrics, rng, make_module)
        demand = DemandGenerator(
            scenario, self.fleet.capacity(), random_stream(seed, "demand"), random_stream(seed, "ways")
        )
        self.traffic = ClientTraffic(scenario.customers, self.fleet, demand, rng)
        self._faults = FaultInjector(scenario, self.fleet, self.traffic, rng)

    def run(self) -> dict[str, Any]:
        """Run to the end, and return the figures by their names in the report."""
        scenario = self._scenario
        measured_from = START_TIME + scenario.warm_up
        self.fleet.start()
        for fault in scenario.faults:
            self.clock.call_at(measured_from + fault.at, self._faults.begin, fault)
        self.traffic.start()
        self.clock.run_until(measured_from)
        self.metrics.is_on = True
        self.fleet.begin_measurement()
        self.clock.run_until(measured_from + scenario.length)
        idle_share = self.fleet.idle_share()
        self.metrics.is_on = False
        self.traffic.end()
        self.clock.run_until(measured_from + scenario.length + self._settling_time())
        for request_id in self.traffic.unanswered:
            self.fleet.environment.rule_checker.on_unanswered(request_id)
        balance = self.fleet.load_balance(idle_share)
        return self.metrics.figures(balance, scenario.warm_up, scenario.length)

    def _settling_time(self) -> float:
        """Return the seconds after which every call that has begun is finished."""
        customers = self._scenario.customers
        longest_deadline = max(workload.cls.deadline for workload in self._scenario.works)
        return (1 + customers.patience) * longest_deadline + customers.wait + SETTLING_MARGIN_S

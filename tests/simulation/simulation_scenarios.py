"""Scenarios that the tests of the simulation start from, and what runs them."""

from apigateway.policy import Gateway
from apigateway.simulation.scenario import READ, CustomerSettings, HostSettings, Scenario, Workload
from apigateway.simulation.simulation import Simulation

SMALL = Scenario(
    gateways=12,
    load=0.6,
    length=8.0,
    warm_up=2.0,
    machines=HostSettings(count=9),
    customers=CustomerSettings(count=60),
)
CROWD = Scenario(
    gateways=60,
    load=0.5,
    length=6.0,
    warm_up=2.0,
    works=(Workload(READ, 1.0, 0.2),),
    machines=HostSettings(count=20),
    customers=CustomerSettings(count=120),
)


def run_simulation(scenario, seed=1, make=Gateway):
    """Return the simulation that has run, and its figures."""
    simulation = Simulation(scenario, seed, make)
    return simulation, simulation.run()

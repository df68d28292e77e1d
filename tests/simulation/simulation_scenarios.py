"""Base scenarios of the simulation tests, and a helper that runs them."""

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
FLEET = Scenario(
    gateways=60,
    load=0.5,
    length=6.0,
    warm_up=2.0,
    works=(Workload(READ, 1.0, 0.2),),
    machines=HostSettings(count=20),
    customers=CustomerSettings(count=120),
)


def run_simulation(scenario, seed=1, make_module=Gateway):
    """Run a simulation, and return it with its figures."""
    simulation = Simulation(scenario, seed, make_module)
    return simulation, simulation.run()

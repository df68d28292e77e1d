"""A simulated host, compared with queueing theory."""

import statistics
from dataclasses import replace

import pytest
from simulation_scenarios import run_simulation

from apigateway.simulation.scenario import READ, CustomerSettings, HostSettings, Scenario, Workload

ONE_HOST = Scenario(
    gateways=1,
    zones=("a",),
    load=0.5,
    length=600.0,
    policy="random",
    machines=HostSettings(count=1, cores=1, slots=1, queue=10000, speed_cv=0.0, thrash=0.0, handshake=0.0),
    works=(Workload(READ, 1.0, 0.1),),
    customers=CustomerSettings(count=5, busiest=1.0, retries=0, patience=100.0),
)


@pytest.mark.parametrize("cores, load, mean_wait", [(1, 0.5, 0.1), (1, 0.7, 0.2333), (4, 0.7, 0.0143 * 2.5)])
def test_mean_latency_with_random_arrivals_matches_queueing_theory(cores, load, mean_wait):
    """M/M/c: the mean wait is work x C(c, load) / (c (1 - load)), with C by the Erlang C formula."""
    if cores == 4:
        offered_load = cores * load
        terms = [offered_load**n / [1, 1, 2, 6, 24][n] for n in range(5)]
        wait_probability = terms[4] / (1 - load) / (sum(terms[:4]) + terms[4] / (1 - load))
        mean_wait = 0.1 * wait_probability / (cores * (1 - load))
    machines = replace(ONE_HOST.machines, cores=cores, slots=cores)
    simulation, _ = run_simulation(replace(ONE_HOST, load=load, machines=machines))
    mean_latency = statistics.fmean(simulation.metrics.latencies)
    assert mean_latency == pytest.approx(0.1 + mean_wait, rel=0.12)

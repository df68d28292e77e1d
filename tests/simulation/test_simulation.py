"""The reproducibility of a simulation."""

from dataclasses import replace

from simulation_scenarios import SMALL, run_simulation


def test_simulation_with_the_same_seed_produces_the_same_figures():
    first, second = run_simulation(SMALL)[1], run_simulation(SMALL)[1]
    assert first == second
    assert run_simulation(SMALL, seed=2)[1] != first


def test_demand_does_not_depend_on_the_policy():
    first_request_counts = {
        run_simulation(replace(SMALL, policy=policy))[1]["firsts"] for policy in ("module", "random", "two")
    }
    assert len(first_request_counts) == 1

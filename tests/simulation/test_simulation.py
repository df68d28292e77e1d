"""A simulation as a whole: what it depends on, and what it does not depend on."""

from dataclasses import replace

from simulation_scenarios import SMALL, run_simulation


def test_simulation_when_run_again_with_the_same_seed_gives_the_same_figures():
    first, again = run_simulation(SMALL)[1], run_simulation(SMALL)[1]
    assert first == again
    assert run_simulation(SMALL, seed=2)[1] != first


def test_demand_when_the_policy_differs_is_the_same():
    firsts = {
        run_simulation(replace(SMALL, policy=policy))[1]["firsts"] for policy in ("module", "random", "two")
    }
    assert len(firsts) == 1

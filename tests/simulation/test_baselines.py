"""The baselines: their names, and the order that is known of them."""

from dataclasses import replace

from simulation_scenarios import SMALL, run_simulation

from apigateway.simulation.baselines import is_baseline
from apigateway.simulation.scenario import FREE, CustomerSettings, HostSettings


def test_idle_capacity_when_baselines_know_more_is_less():
    scenario = replace(SMALL, gateways=40, load=0.75, length=20.0, machines=HostSettings(count=20))
    idle = {
        policy: run_simulation(replace(scenario, policy=policy))[1]["idle_waiting"]
        for policy in ("random", "robin", "two", "two:1", "best")
    }
    assert idle["best"] < idle["two"] < 0.3 * idle["random"]
    assert idle["two"] < 0.5 * idle["two:1"]  # what is a second old tells little
    assert is_baseline("best:0.5") and not is_baseline("two:x") and not is_baseline("worst")


def test_over_quota_when_the_baseline_sees_quotas_later_is_more():
    customers = CustomerSettings(plans=(replace(FREE, rate=0.8, burst=3.0, over_quota_cost=0.5),), heavy=0.3)
    base = replace(SMALL, load=0.4, customers=customers)
    told = {
        way: run_simulation(replace(base, policy=way))[1]
        for way in ("two", "quota:0", "quota:0.5", "quota:2")
    }
    beyond = [told[way]["over_quota"] for way in ("quota:0", "quota:0.5", "quota:2", "two")]
    assert beyond == sorted(beyond) and beyond[0] < 0.03 < 0.2 < beyond[-1]
    assert [told[way]["quota_cost"] > 0 for way in ("quota:0", "two")] == [beyond[0] > 0, True]
    assert told["quota:0"]["with_room"] < 0.05 < told["quota:2"]["with_room"] and told["two"]["served"] > 0.9

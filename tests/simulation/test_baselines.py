"""The baselines: their names and their expected order."""

from dataclasses import replace

from simulation_scenarios import SMALL, run_simulation

from apigateway.simulation.baselines import is_baseline
from apigateway.simulation.scenario import FREE, CustomerSettings, HostSettings


def test_better_informed_baselines_leave_less_idle_capacity():
    scenario = replace(SMALL, gateways=40, load=0.75, length=20.0, machines=HostSettings(count=20))
    idle_shares = {
        policy: run_simulation(replace(scenario, policy=policy))[1]["idle_waiting"]
        for policy in ("random", "robin", "two", "two:1", "best")
    }
    assert idle_shares["best"] < idle_shares["two"] < 0.3 * idle_shares["random"]
    assert idle_shares["two"] < 0.5 * idle_shares["two:1"]  # a load that is 1 s old is mostly outdated
    assert is_baseline("best:0.5") and not is_baseline("two:x") and not is_baseline("worst")


def test_later_knowledge_of_quotas_forwards_more_units_over_quota():
    customers = CustomerSettings(plans=(replace(FREE, rate=0.8, burst=3.0, over_quota_cost=0.5),), heavy=0.3)
    scenario = replace(SMALL, load=0.4, customers=customers)
    figures = {
        policy: run_simulation(replace(scenario, policy=policy))[1]
        for policy in ("two", "quota:0", "quota:0.5", "quota:2")
    }
    over_quota = [figures[policy]["over_quota"] for policy in ("quota:0", "quota:0.5", "quota:2", "two")]
    assert over_quota == sorted(over_quota) and over_quota[0] < 0.03 < 0.2 < over_quota[-1]
    assert [figures[policy]["quota_cost"] > 0 for policy in ("quota:0", "two")] == [over_quota[0] > 0, True]
    assert (
        figures["quota:0"]["with_room"] < 0.05 < figures["quota:2"]["with_room"]
        and figures["two"]["served"] > 0.9
    )

"""The plans of the example scenarios."""

from pathlib import Path

import pytest

from apigateway.tools.load.plan import plan_scenario
from apigateway.tools.load.scenario import read_scenario

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("name, min_requests", [("month-start", 3000), ("onam", 10_000)])
def test_example_scenario_can_be_planned_and_its_figures_add_up(name, min_requests):
    plan = plan_scenario(read_scenario(str(ROOT / "examples" / "load" / f"{name}.toml")))
    assert plan.requests > min_requests and sum(plan.by_plan_and_class.values()) == plan.requests
    assert sum(plan.by_gateway.values()) == plan.requests
    assert sum(plan.rates) * plan.seconds / len(plan.rates) == pytest.approx(plan.requests)

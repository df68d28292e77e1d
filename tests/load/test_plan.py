"""The plan of the scenarios that ship."""

from pathlib import Path

import pytest

from apigateway.tools.load.plan import plan_scenario
from apigateway.tools.load.scenario import read_scenario

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("name, least", [("month-start", 3000), ("onam", 10_000)])
def test_examples_can_be_planned_and_their_figures_add_up(name, least):
    planned = plan_scenario(read_scenario(str(ROOT / "examples" / "load" / f"{name}.toml")))
    assert planned.requests > least and sum(planned.by_plan_and_class.values()) == planned.requests
    assert sum(planned.by_gateway.values()) == planned.requests
    assert sum(planned.rates) * planned.seconds / len(planned.rates) == pytest.approx(planned.requests)

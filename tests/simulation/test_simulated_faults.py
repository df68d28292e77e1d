"""The decision module under each kind of fault."""

from dataclasses import replace

import pytest
from simulation_scenarios import SMALL, run_simulation

from apigateway import messages
from apigateway.simulation.scenario import FREE, CustomerSettings, FaultKind, FaultSettings


@pytest.mark.parametrize("what", FaultKind)
def test_decision_module_violates_no_rule_under_a_fault(what):
    size = 0.5 if what == "slow" else 2.0
    fault = FaultSettings(
        what, 2.0, 3.0, part=0.34, size=size, lose=0.3, over=3.0, back=1.5, zone="a", cold=True
    )
    quota = messages.Plan("q", 3.0, 8.0, 0, 1.0, 0.0, 0.5, 6.0, 12.0, 1.2)
    customers = CustomerSettings((FREE, quota), (0.5, 0.5), count=40, heavy=0.2, retries=2)
    _, figures = run_simulation(replace(SMALL, load=0.45, faults=(fault,), customers=customers))
    assert figures["broken"] == 0 and figures["firsts"] > 300
    assert figures["in_aim"] > (0.3 if what in ("dark", "cut", "surge") else 0.6)

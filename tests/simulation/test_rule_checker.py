"""The rule checker against decision modules that break a rule."""

from dataclasses import replace

import pytest
from simulation_scenarios import SMALL, run_simulation

from apigateway import messages
from apigateway.simulation.metrics import Metric
from apigateway.simulation.scenario import (
    FREE,
    NOTICE,
    READ,
    CustomerSettings,
    EndpointListSettings,
    FaultSettings,
    HostSettings,
    Workload,
)


class RuleBreaker:
    """A module that breaks the rule it is told to break; "silent" decides nothing at all."""

    def __init__(self, how):
        self.how = how
        self.hosts = []

    def handle(self, now, event):
        actions = []
        if isinstance(event, messages.EndpointList):
            self.hosts += [endpoint.id for endpoint in event.endpoints if endpoint.state == "up"]
        if isinstance(event, messages.Request):
            forward = [messages.ForwardRequest(event.request_id, self.hosts[0])]
            actions = [] if self.how == "silent" else forward * (2 if self.how == "two at once" else 1)
        elif (
            isinstance(event, messages.AttemptOutcome)
            and not event.is_final
            and self.how == "twice"
            and event.attempt < 2
        ):
            actions = [messages.ForwardRequest(event.request_id, self.hosts[1])]
        if self.how == "pushed over":  # all go to the newest
            self.hosts.sort(key=lambda endpoint_id: -int(endpoint_id[1:]))
        return actions


@pytest.mark.parametrize(
    "how, works, fault",
    [
        ("two at once", READ, FaultSettings("surge", 0.0)),
        ("twice", NOTICE, FaultSettings("err", 0.0, 3.0, part=1.0)),
        ("drain", READ, FaultSettings("replace", 0.0, part=1.0)),
        ("ceiling", READ, FaultSettings("surge", 0.0)),
        ("pushed over", READ, FaultSettings("replace", 0.0, part=1.0)),
    ],
)
def test_rule_checker_when_a_module_breaks_a_rule_names_it(how, works, fault):
    plan = replace(FREE, ceiling_rate=1.0, ceiling_burst=2.0, ceiling_slack=0.2) if how == "ceiling" else FREE
    scenario = replace(
        SMALL,
        gateways=3,
        faults=(fault,),
        works=(Workload(works),),
        machines=HostSettings(count=3),
        customers=CustomerSettings((plan,), count=9),
        listing=EndpointListSettings(0.1, 0.1),
    )
    simulation, figures = run_simulation(scenario, make=lambda settings, seed, now: RuleBreaker(how))
    assert figures["broken"] and any(
        str(violation).startswith(how) for violation in simulation.metrics.violations
    )


def test_requests_when_a_module_decides_nothing_fail_in_time():
    simulation, figures = run_simulation(
        replace(SMALL, load=0.1), make=lambda settings, seed, now: RuleBreaker("silent")
    )
    assert figures["broken"] == 0 and figures["served"] == 0
    assert simulation.metrics.counts[Metric.UNDECIDED_REQUESTS] > 50

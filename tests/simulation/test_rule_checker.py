"""The rule checker with decision modules that violate a rule."""

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


class ViolatingModule:
    """A decision module that violates one rule; with "silent" it makes no decisions."""

    def __init__(self, violation):
        self.violation = violation
        self.endpoint_ids = []

    def handle(self, now, event):
        actions = []
        if isinstance(event, messages.EndpointList):
            self.endpoint_ids += [endpoint.id for endpoint in event.endpoints if endpoint.state == "up"]
        if isinstance(event, messages.Request):
            forward = [messages.ForwardRequest(event.request_id, self.endpoint_ids[0])]
            actions = (
                [] if self.violation == "silent" else forward * (2 if self.violation == "two at once" else 1)
            )
        elif (
            isinstance(event, messages.AttemptOutcome)
            and not event.is_final
            and self.violation == "twice"
            and event.attempt < 2
        ):
            actions = [messages.ForwardRequest(event.request_id, self.endpoint_ids[1])]
        if self.violation == "pushed over":  # sends all requests to the newest host
            self.endpoint_ids.sort(key=lambda endpoint_id: -int(endpoint_id[1:]))
        return actions


@pytest.mark.parametrize(
    "violation, service_class, fault",
    [
        ("two at once", READ, FaultSettings("surge", 0.0)),
        ("twice", NOTICE, FaultSettings("err", 0.0, 3.0, part=1.0)),
        ("drain", READ, FaultSettings("replace", 0.0, part=1.0)),
        ("ceiling", READ, FaultSettings("surge", 0.0)),
        ("pushed over", READ, FaultSettings("replace", 0.0, part=1.0)),
    ],
)
def test_rule_checker_reports_the_violated_rule(violation, service_class, fault):
    plan = (
        replace(FREE, ceiling_rate=1.0, ceiling_burst=2.0, ceiling_slack=0.2)
        if violation == "ceiling"
        else FREE
    )
    scenario = replace(
        SMALL,
        gateways=3,
        faults=(fault,),
        works=(Workload(service_class),),
        machines=HostSettings(count=3),
        customers=CustomerSettings((plan,), count=9),
        listing=EndpointListSettings(0.1, 0.1),
    )
    simulation, figures = run_simulation(
        scenario, make_module=lambda settings, seed, now: ViolatingModule(violation)
    )
    assert figures["broken"] and any(
        str(recorded).startswith(violation) for recorded in simulation.metrics.violations
    )


def test_requests_without_a_decision_fail_in_time():
    simulation, figures = run_simulation(
        replace(SMALL, load=0.1), make_module=lambda settings, seed, now: ViolatingModule("silent")
    )
    assert figures["broken"] == 0 and figures["served"] == 0
    assert simulation.metrics.counts[Metric.UNDECIDED_REQUESTS] > 50

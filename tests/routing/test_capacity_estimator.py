"""What hosts report of themselves tells how many requests they work on at once."""

import pytest
from helpers import GatewayHarness, actions_of, make_host, make_plan, make_settings

from apigateway import messages
from apigateway.routing.capacity_estimator import MIN_REPORTS, CapacityEstimator

BIG = make_plan(rate=0.0)


def heard(*reports):
    size = CapacityEstimator(4.0)
    for report in reports * MIN_REPORTS:
        size.observe(report)
    return size.scale


@pytest.mark.parametrize("cores", [6, 8, 16, 64])
def test_hosts_that_hold_as_many_as_they_have_busy_cores_tell_their_size(cores):
    reports = [{"inflight": part * cores, "util": part} for part in (0.3, 0.6)]
    assert heard(*reports) == pytest.approx(cores / 4)


@pytest.mark.parametrize(
    "report",
    [
        {"inflight": 1.0, "util": 0.5},
        {"inflight": 400.0, "util": 1.0},
        {"inflight": 1.0, "util": 0.01},
        {},
        {"inflight": 9.0},
        {"util": 0.5, "queue": 3.0},
        {"inflight": 0.0, "util": 0.5},
    ],
)
def test_small_full_and_idle_hosts_and_those_that_do_not_tell_leave_it_as_it_is(report):
    assert heard(report) == 1.0


def test_large_hosts_in_usual_work_shed_nothing():
    """Half of the load of sixteen cores is more than a host of four can hold."""
    w = GatewayHarness(make_settings(plans=[BIG], gateway_count=50), [make_host(f"h{k}") for k in range(10)])
    sent = 0
    for n in range(300):
        for s in actions_of(
            w.send_request(service_class=("read", "write")[n % 2])[1], messages.ForwardRequest
        ):
            sent += 1
            w.end_attempt(s, load_report={"inflight": 9.0, "util": 0.56}, elapsed=0.2)
        w.now += 0.05
    assert sent == 300
    for n in range(300):  # what is more than they can do sheds as ever
        for s in actions_of(
            w.send_request(service_class=("read", "write")[n % 2])[1], messages.ForwardRequest
        ):
            sent += 1
            w.end_attempt(s, load_report={"inflight": 90.0, "util": 1.0}, elapsed=0.9)
        w.now += 0.05
    assert sent < 500


def test_few_gateways_have_as_many_out_at_large_hosts_as_these_work_on():
    w = GatewayHarness(make_settings(plans=[BIG]), [make_host("h0")])
    for _ in range(MIN_REPORTS):
        for s in actions_of(w.send_request()[1], messages.ForwardRequest):
            w.end_attempt(s, load_report={"inflight": 8.0, "util": 0.5}, elapsed=0.2)
    assert sum(len(actions_of(w.send_request()[1], messages.ForwardRequest)) for _ in range(20)) in (8, 9)

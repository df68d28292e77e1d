"""The capacity of hosts, estimated from their load reports."""

import pytest
from helpers import DecisionHarness, actions_of, make_host, make_plan, make_settings

from apigateway import messages
from apigateway.routing.capacity_estimator import MIN_REPORTS, CapacityEstimator

UNLIMITED = make_plan(rate=0.0)


def estimated_scale(*reports):
    estimator = CapacityEstimator(4.0)
    for report in reports * MIN_REPORTS:
        estimator.observe(report)
    return estimator.scale


@pytest.mark.parametrize("cores", [6, 8, 16, 64])
def test_scale_is_derived_from_hosts_with_one_request_per_busy_core(cores):
    reports = [{"inflight": utilisation * cores, "util": utilisation} for utilisation in (0.3, 0.6)]
    assert estimated_scale(*reports) == pytest.approx(cores / 4)


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
def test_reports_of_small_full_or_idle_hosts_and_incomplete_reports_do_not_change_the_scale(report):
    assert estimated_scale(report) == 1.0


def test_no_load_is_shed_while_large_hosts_are_normally_loaded():
    """Half the load of a host with sixteen cores would overload a host with four."""
    harness = DecisionHarness(
        make_settings(plans=[UNLIMITED], gateway_count=50), [make_host(f"h{k}") for k in range(10)]
    )
    sent = 0
    for n in range(300):
        for forward in actions_of(
            harness.send_request(service_class=("read", "write")[n % 2])[1], messages.ForwardRequest
        ):
            sent += 1
            harness.end_attempt(forward, load_report={"inflight": 9.0, "util": 0.56}, elapsed=0.2)
        harness.now += 0.05
    assert sent == 300
    for n in range(300):  # when these hosts are overloaded, load is still shed
        for forward in actions_of(
            harness.send_request(service_class=("read", "write")[n % 2])[1], messages.ForwardRequest
        ):
            sent += 1
            harness.end_attempt(forward, load_report={"inflight": 90.0, "util": 1.0}, elapsed=0.9)
        harness.now += 0.05
    assert sent < 500


def test_few_gateways_send_large_hosts_as_many_attempts_as_these_can_process():
    harness = DecisionHarness(make_settings(plans=[UNLIMITED]), [make_host("h0")])
    for _ in range(MIN_REPORTS):
        for forward in actions_of(harness.send_request()[1], messages.ForwardRequest):
            harness.end_attempt(forward, load_report={"inflight": 8.0, "util": 0.5}, elapsed=0.2)
    assert sum(len(actions_of(harness.send_request()[1], messages.ForwardRequest)) for _ in range(20)) in (
        8,
        9,
    )

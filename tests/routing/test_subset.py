"""Deterministic subsetting: hosts are covered evenly, and a change moves few of them."""

from collections import Counter

import pytest
from helpers import DecisionHarness, actions_of, make_host, make_plan, make_settings
from hypothesis import given, seed, strategies
from hypothesis import settings as hypothesis_settings

from apigateway import messages
from apigateway.hashing import stable_hash
from apigateway.routing import subset

UNLIMITED = make_plan(rate=0.0)


def make_ring(host_count):
    return sorted((f"h{n}" for n in range(host_count)), key=stable_hash)


@seed(1)
@hypothesis_settings(deadline=None, max_examples=25)
@given(
    host_count=strategies.integers(1, 400),
    gateway_count=strategies.integers(1, 400),
    rate=strategies.floats(0, 50),
)
def test_every_host_is_in_about_as_many_subsets_as_any_other(host_count, gateway_count, rate):
    size = subset.subset_size(host_count, gateway_count, rate, 0)
    gateways_by_host = Counter(
        host_id
        for gateway_index in range(gateway_count)
        for host_id in subset.deterministic_subset(make_ring(host_count), gateway_index, gateway_count, size)
    )
    assert len(set(subset.deterministic_subset(make_ring(host_count), 0, gateway_count, size))) == size
    counts = [gateways_by_host[host_id] for host_id in make_ring(host_count)]
    assert min(counts) >= 1
    if size < host_count:
        # The positions of hosts and gateways on the ring do not match exactly: a difference of one gateway on
        # either side, and as many again as there are gateways for each host.
        assert max(counts) - min(counts) <= 2 * (gateway_count // host_count + 2)
        assert min(counts) >= 0.5 * gateway_count * size / host_count - 2


@pytest.mark.parametrize(
    "gateway_count, host_count, rate, min_size, max_size",
    [
        (3, 10, 30.0, 10, 10),
        (4, 14, 40.0, 14, 14),
        (1, 1000, 5.0, 1000, 1000),
        (200, 50, 3.5, 16, 18),
        (200, 117, 21.0, 100, 117),
        (1000, 1000, 1 / 60, 16, 16),
        (200, 1000, 3.5, 60, 60),
        (20, 50, 10.0, 50, 50),
    ],
)
def test_subset_size_follows_gateways_hosts_and_rate(gateway_count, host_count, rate, min_size, max_size):
    assert min_size <= subset.subset_size(host_count, gateway_count, rate, 0) <= max_size


@pytest.mark.parametrize("gateway_count, host_count", [(200, 50), (200, 117), (1000, 200)])
def test_removing_a_host_changes_each_subset_by_one_host_at_most(gateway_count, host_count):
    ring = make_ring(host_count)
    for removed in ring[::7]:
        smaller_ring = [host_id for host_id in ring if host_id != removed]
        for gateway_index in range(0, gateway_count, 9):
            before, after = (
                set(subset.deterministic_subset(candidate_ring, gateway_index, gateway_count, 16))
                for candidate_ring in (ring, smaller_ring)
            )
            assert len(before - after - {removed}) <= 1


def test_subset_size_shrinks_only_by_a_large_change():
    assert subset.subset_size(200, 200, 5.0, 0) == 25
    assert subset.subset_size(200, 200, 4.0, 25) == 25 and subset.subset_size(200, 200, 6.0, 25) == 30
    assert subset.subset_size(200, 200, 2.0, 40) == 16


def make_harness(host_count=50, index=3, **overrides):
    listed_hosts = [make_host(f"h{n}", cell=n % 7) for n in range(host_count)]
    return DecisionHarness(
        make_settings(plans=[UNLIMITED], gateway_count=200, gateway_index=index, **overrides), listed_hosts
    )


def count_served(harness, request_count, **overrides):
    counts = Counter()
    for _ in range(request_count):
        for forward in actions_of(harness.send_request(plan="p", **overrides)[1], messages.ForwardRequest):
            counts[forward.endpoint_id] += 1
            harness.end_attempt(forward)
        harness.now += 0.3
    return counts


def test_gateways_send_to_different_subsets():
    first, second = count_served(make_harness(), 200), count_served(make_harness(index=103), 200)
    assert len(first) <= 18 and len(second) <= 18 and first.keys() != second.keys()
    assert max(first.values()) < 4 * 200 / len(first)


def test_subset_grows_with_the_request_rate():
    harness = make_harness()
    for _ in range(300):
        for forward in actions_of(harness.send_request(plan="p")[1], messages.ForwardRequest):
            harness.end_attempt(forward)
        harness.now += 0.02
    assert len(harness.gateway.pool.subset) == 50
    count_served(harness, 60)
    harness.handle(messages.EndpointList("delta", 9, (make_host("h50"),)))  # the next list change shrinks it
    assert len(harness.gateway.pool.subset) < 25


def test_retry_restricted_to_its_cell_may_leave_the_subset():
    harness = make_harness()
    subset_ids = {endpoint.host.id for endpoint in harness.gateway.pool.subset}
    cells = Counter(endpoint.host.cell for endpoint in harness.gateway.pool.subset)
    harness.gateway.pool.health.outliers.failing_shares["host"] = 0.02
    outside_count = 0
    for _ in range(60):
        forward = actions_of(
            harness.send_request(plan="p", service_class="cellwrite")[1], messages.ForwardRequest
        )[0]
        retries = actions_of(harness.end_attempt(forward, "reset"), messages.ForwardRequest)
        if retries:
            cell_by_id = {f"h{n}": n % 7 for n in range(50)}
            assert cell_by_id[retries[0].endpoint_id] == cell_by_id[forward.endpoint_id]
            outside_count += retries[0].endpoint_id not in subset_ids
            harness.end_attempt(retries[0], attempt=1)
        harness.now += 3.0
    assert outside_count or min(cells.values()) > 1


def test_second_attempt_leaves_a_subset_in_which_all_hosts_fail():
    harness = make_harness()
    sent, rejected = [], 0
    failing_ids = {endpoint.host.id for endpoint in harness.gateway.pool.subset}
    for _ in range(30):
        actions = harness.send_request(plan="p")[1]
        while forwards := actions_of(actions, messages.ForwardRequest):
            sent.append(forwards[0].endpoint_id)
            fails = forwards[0].endpoint_id in failing_ids
            number = (
                sum(
                    action.request_id == forwards[0].request_id
                    for _, action in [
                        entry for entry in harness.action_log if type(entry[1]) is messages.ForwardRequest
                    ]
                )
                - 1
            )
            actions = harness.end_attempt(
                forwards[0], "connect_failed" if fails else "ok", attempt=number, is_final=not fails
            )
        rejected += len(actions_of(actions, messages.Reject))
        harness.now += 0.5
    assert any(host_id not in failing_ids for host_id in sent) and rejected < 10


@pytest.mark.parametrize("gateway_count, is_suspected", [(200, True), (3, False)])
def test_one_attempt_past_the_latency_objective_marks_a_host_in_a_large_fleet_only(
    gateway_count, is_suspected
):
    listed_hosts = [make_host(f"h{n}") for n in range(50)]
    limits = dict(can_hedge=False, can_cancel=False)
    harness = DecisionHarness(
        make_settings(plans=[UNLIMITED], gateway_count=gateway_count, limits=limits), listed_hosts
    )
    forward = actions_of(harness.send_request(plan="p", service_class="note")[1], messages.ForwardRequest)[0]
    harness.advance(1.1)  # its latency objective is 1 s
    failure_probability = harness.gateway.pool.health.outliers.failure_probability(
        forward.endpoint_id, "host", harness.now
    )
    assert (failure_probability > 0.6) == is_suspected and failure_probability > 0.15


@seed(1)
@hypothesis_settings(deadline=None, max_examples=40)
@given(
    gateway_count=strategies.integers(60, 400),
    host_count=strategies.integers(20, 120),
    remaining_share=strategies.floats(0.25, 0.9),
    first_lost=strategies.integers(0, 399),
    step=strategies.sampled_from([1, 2, 3]),
)
def test_hosts_stay_covered_when_a_range_of_gateways_is_lost(
    gateway_count, host_count, remaining_share, first_lost, step
):
    """This also holds when every second or third gateway is lost, such as those of a zone.

    When a range of 200 gateway processes was killed, the busiest host had 1.6 times the mean load and the
    least busy one half of it.
    """
    size = max(20, subset.subset_size(host_count, gateway_count, 3.0, 0))
    lost = {
        (first_lost + step * n) % gateway_count for n in range(round((1 - remaining_share) * gateway_count))
    }
    remaining = [gateway_index for gateway_index in range(gateway_count) if gateway_index not in lost]
    # Six gateways per host on average.
    size = min(host_count, max(size, round(6 * host_count / len(remaining))))
    gateways_by_host = Counter(
        host_id
        for gateway_index in remaining
        for host_id in subset.deterministic_subset(make_ring(host_count), gateway_index, gateway_count, size)
    )
    mean = len(remaining) * size / host_count
    assert (
        min(gateways_by_host[host_id] for host_id in make_ring(host_count)) >= 0.4 * mean - 2
        and max(gateways_by_host.values()) <= 1.7 * mean + 2
    )


def test_reasons_of_choices_are_counted():
    harness = make_harness()
    choice_counts, endpoint_id = (
        harness.gateway.pool.choice_counts,
        next(iter(harness.gateway.pool.subset)).host.id,
    )
    while not choice_counts["report"]:
        for forward in actions_of(harness.send_request(plan="p")[1], messages.ForwardRequest):
            harness.end_attempt(forward, load_report={"queue": 0.0})
    assert choice_counts["mean"] and not choice_counts["outside"] and not choice_counts["doubted"]
    harness.gateway.pool.health.outliers.record(endpoint_id, ("host",), True, harness.now)
    for endpoint in harness.gateway.pool.subset:
        endpoint.scores.clear()
    before = choice_counts["doubted"]
    count_served(harness, 200)
    assert choice_counts["doubted"] > before

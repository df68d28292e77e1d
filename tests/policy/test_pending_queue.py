"""The queue of requests that wait for a host: it has the order of a sorted list, and its cost per event does
not grow with its length.
"""

from collections import deque

import pytest
from helpers import DecisionHarness, actions_of, make_host, make_settings
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.policy import dispatch, selection
from apigateway.policy.pending_queue import PendingQueue
from apigateway.routing.priority_queue import MAX_EXTRA_DONE_ENTRIES


class ReferenceQueue:
    """A slow reference implementation: a sorted list that is scanned on each call."""

    def __init__(self):
        self.entries = []

    def add(self, pending):
        position = sum(
            1
            for entry in self.entries
            if (not entry.is_over_quota, entry.priority_density)
            <= (not pending.is_over_quota, pending.priority_density)
        )
        self.entries.insert(position, pending)

    def drain(self, forward):
        blocked_routes = set()
        for pending in self.entries[::-1]:
            if not pending.done and pending.route_name not in blocked_routes:
                if forward(pending):
                    self.entries.remove(pending)
                else:
                    blocked_routes.add(pending.route_name)

    def lowest_priority(self):
        return next((pending for pending in self.entries if not pending.done), None)


class FakePendingRequest:
    """The part of pending_queue.PendingRequest that the queue reads."""

    def __init__(self, request_number, route_name, priority_density, is_over_quota):
        self.route_name, self.priority_density, self.is_over_quota, self.done = (
            route_name,
            priority_density,
            is_over_quota,
            False,
        )
        self.service_class = messages.ServiceClass(route_name, 1, 3, "safe", "all", 0, 1, 0, False, 0)
        self.allowed_kinds, self.tried_endpoint_ids = (), set()
        self.possibly_executed, self.in_flight = [], {}
        self.request = messages.Request(f"r{request_number}", 3, "c", "p", route_name, 1, 0, 1)


class LimitedCapacity:
    """Endpoints that can take a number of requests of each route."""

    def __init__(self, capacity_a, capacity_b):
        self.remaining, self.sent = {"a": capacity_a, "b": capacity_b}, []

    def send(self, pending):
        self.remaining[pending.route_name] -= 1
        if self.remaining[pending.route_name] >= 0:
            self.sent.append(pending)
        return self.remaining[pending.route_name] >= 0


STEP = st.one_of(
    st.tuples(st.just("add"), st.sampled_from("ab"), st.sampled_from([1.0, 2.0, 2.5]), st.booleans()),
    st.tuples(st.just("done"), st.integers(0, 30), st.none(), st.none()),
    st.tuples(st.just("drain"), st.integers(0, 4), st.integers(0, 4), st.none()),
    st.tuples(st.just("worst"), st.none(), st.none(), st.none()),
)


@seed(13)
@settings(max_examples=300, deadline=None, database=None)
@given(st.lists(STEP, max_size=60))
def test_queue_order_equals_that_of_a_sorted_list(steps):
    queue, reference, requests = PendingQueue(), ReferenceQueue(), []
    for operation, first, second, third in steps:
        if operation == "add":
            pending = FakePendingRequest(len(requests), first, second, third)
            requests.append(pending)
            queue.add(pending)
            reference.add(pending)
        elif operation == "done" and first < len(reference.entries) and not reference.entries[first].done:
            reference.entries[first].done = True
            queue.on_item_done()
            assert queue.entry_count <= 2 * queue.waiting_count + MAX_EXTRA_DONE_ENTRIES  # no build-up
        elif operation == "drain":
            capacity = LimitedCapacity(first, second)
            queue.drain(capacity.send)
            reference_capacity = LimitedCapacity(first, second)
            reference.drain(reference_capacity.send)
            assert capacity.sent == reference_capacity.sent
        elif operation == "worst":
            assert queue.lowest_priority() is reference.lowest_priority()
        assert queue.waiting_count == sum(1 for pending in reference.entries if not pending.done)
        assert queue.entry_count == sum(map(len, queue.queues_by_route.values()))


def make_harness_with_full_hosts(monkeypatch, request_count):
    """Return a harness that got `request_count` requests and whose hosts are full, and its attempts."""
    monkeypatch.setattr(dispatch, "MIN_QUEUE_LENGTH", request_count + 100)
    plan = messages.Plan("p", 1e6, 1e6, 0, 1.0, 0.0, 0.5, 0.0, 0.0, 0.0)
    harness = DecisionHarness(
        make_settings(gateway_count=1, plans=[plan]), [make_host(f"h{n}") for n in range(4)]
    )
    in_flight = []
    for _ in range(request_count):
        request_id, actions = harness.send_request(spread=1)
        assert not actions_of(actions, messages.Reject)
        in_flight += actions_of(actions, messages.ForwardRequest)
    return harness, in_flight


@pytest.mark.parametrize("request_count", [200, 20_000])
def test_work_per_event_does_not_grow_with_the_queue(monkeypatch, request_count):
    harness, in_flight = make_harness_with_full_hosts(monkeypatch, request_count)
    selections, real_select = [], selection.select_endpoint
    monkeypatch.setattr(
        selection,
        "select_endpoint",
        lambda state, pending: selections.append(pending) or real_select(state, pending),
    )
    for forward in in_flight[:10]:
        harness.end_attempt(forward)
    # Each attempt that ends leads to a new one, and to a search that finds no capacity.
    assert len(selections) <= 30


def test_20000_queued_requests_are_all_answered_when_hosts_free_up_and_then_disappear(monkeypatch):
    request_count = 20_000
    harness, in_flight = make_harness_with_full_hosts(monkeypatch, request_count)
    waiting_count = harness.gateway.queue.waiting_count
    assert waiting_count == request_count - len(in_flight)
    in_flight, answered_ids = deque(in_flight), set()
    while len(answered_ids) < 5_000:  # all hosts become free
        forward = in_flight.popleft()
        in_flight += actions_of(harness.end_attempt(forward), messages.ForwardRequest)
        answered_ids.add(forward.request_id)
    assert harness.gateway.queue.waiting_count == request_count - len(answered_ids) - len(in_flight)
    actions = harness.handle(messages.EndpointList("full", 2, ()))  # all hosts are gone
    assert not actions_of(actions, messages.ForwardRequest)
    for forward in in_flight:  # the connections close with the hosts
        actions += harness.end_attempt(forward, "reset")
    actions += harness.advance(3.0)
    rejected_ids = [action.request_id for action in actions_of(actions, messages.Reject)]
    assert not actions_of(actions, messages.ForwardRequest) and len(rejected_ids) == len(
        set(rejected_ids)
    ) == request_count - len(answered_ids)
    assert (
        not answered_ids & set(rejected_ids)
        and not harness.gateway.pending
        and not harness.gateway.queue.waiting_count
    )
    harness.handle(messages.EndpointList("full", 3, (make_host("h9"),)))  # later requests are forwarded
    request_id, actions = harness.send_request(spread=1)
    assert [action.request_id for action in actions_of(actions, messages.ForwardRequest)] == [request_id]
    assert harness.gateway.queue.entry_count <= MAX_EXTRA_DONE_ENTRIES


def test_highest_priority_is_sent_first_and_latest_among_equals(monkeypatch):
    harness, in_flight = make_harness_with_full_hosts(monkeypatch, 60)
    late_ids = [harness.send_request(spread=1)[0] for _ in range(3)]
    sent_ids = [
        actions_of(harness.end_attempt(forward), messages.ForwardRequest)[0].request_id
        for forward in in_flight[:3]
    ]
    assert sent_ids == late_ids[::-1]

"""Requests that wait for a host: the same order as a plain list that is looked through, at a cost that does
not grow with what waits."""

from collections import deque

import pytest
from helpers import GatewayHarness, actions_of, make_host, make_settings
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.policy import dispatch, selection
from apigateway.policy.pending_queue import PendingQueue
from apigateway.routing.priority_queue import MAX_EXTRA_DONE_ENTRIES


class Plain:
    """The order as it is meant: all that wait, sorted, each looked at."""

    def __init__(self):
        self.jobs = []

    def add(self, job):
        at = sum(
            1
            for one in self.jobs
            if (not one.is_over_quota, one.priority_density) <= (not job.is_over_quota, job.priority_density)
        )
        self.jobs.insert(at, job)

    def drain(self, send):
        stuck = set()
        for job in self.jobs[::-1]:
            if not job.done and job.lane not in stuck:
                if send(job):
                    self.jobs.remove(job)
                else:
                    stuck.add(job.lane)

    def worst(self):
        return next((job for job in self.jobs if not job.done), None)


class Waiting:
    """As much of pending_queue.PendingRequest as the queue looks at."""

    def __init__(self, number, lane, value, beyond):
        self.lane, self.priority_density, self.is_over_quota, self.done = lane, value, beyond, False
        self.service_class = messages.ServiceClass(lane, 1, 3, "safe", "all", 0, 1, 0, False, 0)
        self.allowed_kinds, self.tried_endpoint_ids = (), set()
        self.possibly_executed, self.in_flight = [], {}
        self.request = messages.Request(f"r{number}", 3, "c", "p", lane, 1, 0, 1)


class Room:
    """So many of each lane can be sent."""

    def __init__(self, a, b):
        self.left, self.sent = {"a": a, "b": b}, []

    def send(self, job):
        self.left[job.lane] -= 1
        if self.left[job.lane] >= 0:
            self.sent.append(job)
        return self.left[job.lane] >= 0


STEP = st.one_of(
    st.tuples(st.just("add"), st.sampled_from("ab"), st.sampled_from([1.0, 2.0, 2.5]), st.booleans()),
    st.tuples(st.just("done"), st.integers(0, 30), st.none(), st.none()),
    st.tuples(st.just("drain"), st.integers(0, 4), st.integers(0, 4), st.none()),
    st.tuples(st.just("worst"), st.none(), st.none(), st.none()),
)


@seed(13)
@settings(max_examples=300, deadline=None, database=None)
@given(st.lists(STEP, max_size=60))
def test_the_queue_gives_what_a_plain_list_would(steps):
    queue, plain, jobs = PendingQueue(), Plain(), []
    for what, a, b, c in steps:
        if what == "add":
            job = Waiting(len(jobs), a, b, c)
            jobs.append(job)
            queue.add(job)
            plain.add(job)
        elif what == "done" and a < len(plain.jobs) and not plain.jobs[a].done:
            plain.jobs[a].done = True
            queue.on_item_done()
            assert queue.entry_count <= 2 * queue.waiting_count + MAX_EXTRA_DONE_ENTRIES  # no pile
        elif what == "drain":
            room = Room(a, b)
            queue.drain(room.send)
            other = Room(a, b)
            plain.drain(other.send)
            assert room.sent == other.sent
        elif what == "worst":
            assert queue.lowest_priority() is plain.worst()
        assert queue.waiting_count == sum(1 for job in plain.jobs if not job.done)
        assert queue.entry_count == sum(map(len, queue.queues_by_route.values()))


def waiting_world(monkeypatch, held):
    """A gateway whose hosts are all full, with so many that wait."""
    monkeypatch.setattr(dispatch, "MIN_QUEUE_LENGTH", held + 100)
    plan = messages.Plan("p", 1e6, 1e6, 0, 1.0, 0.0, 0.5, 0.0, 0.0, 0.0)
    w = GatewayHarness(make_settings(gateway_count=1, plans=[plan]), [make_host(f"h{n}") for n in range(4)])
    out = []
    for _ in range(held):
        name, acts = w.send_request(spread=1)
        assert not actions_of(acts, messages.Reject)
        out += actions_of(acts, messages.ForwardRequest)
    return w, out


@pytest.mark.parametrize("held", [200, 20_000])
def test_what_waits_is_not_looked_through(monkeypatch, held):
    w, out = waiting_world(monkeypatch, held)
    tried, choose = [], selection.select_endpoint
    monkeypatch.setattr(
        selection, "select_endpoint", lambda state, job: tried.append(job) or choose(state, job)
    )
    for send in out[:10]:
        w.end_attempt(send)
    assert len(tried) <= 30  # for each that ends one is sent, and one finds that there is no more room


def test_twenty_thousand_held_then_all_free_then_all_gone(monkeypatch):
    held = 20_000
    w, out = waiting_world(monkeypatch, held)
    waiting = w.gateway.queue.waiting_count
    assert waiting == held - len(out)
    out, answered = deque(out), set()
    while len(answered) < 5_000:  # all free at once
        send = out.popleft()
        out += actions_of(w.end_attempt(send), messages.ForwardRequest)
        answered.add(send.request_id)
    assert w.gateway.queue.waiting_count == held - len(answered) - len(out)
    acts = w.handle(messages.EndpointList("full", 2, ()))  # all gone
    assert not actions_of(acts, messages.ForwardRequest)
    for send in out:  # each ends as its host does
        acts += w.end_attempt(send, "reset")
    acts += w.advance(3.0)
    refused = [a.request_id for a in actions_of(acts, messages.Reject)]
    assert not actions_of(acts, messages.ForwardRequest) and len(refused) == len(set(refused)) == held - len(
        answered
    )
    assert not answered & set(refused) and not w.gateway.pending and not w.gateway.queue.waiting_count
    w.handle(messages.EndpointList("full", 3, (make_host("h9"),)))  # and what comes then is served
    name, acts = w.send_request(spread=1)
    assert [a.request_id for a in actions_of(acts, messages.ForwardRequest)] == [name]
    assert w.gateway.queue.entry_count <= MAX_EXTRA_DONE_ENTRIES


def test_the_worthiest_go_first_and_of_equals_the_latest(monkeypatch):
    w, out = waiting_world(monkeypatch, 60)
    late = [w.send_request(spread=1)[0] for _ in range(3)]
    sent = [actions_of(w.end_attempt(send), messages.ForwardRequest)[0].request_id for send in out[:3]]
    assert sent == late[::-1]

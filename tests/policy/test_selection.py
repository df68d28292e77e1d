"""The choice of a host against a slow and plain oracle, and at the size of large fleets."""

import random

import pytest
from helpers import GatewayHarness, actions_of, make_host, make_plan, make_settings
from hypothesis import given, seed
from hypothesis import settings as tries
from hypothesis import strategies as st

from apigateway import messages
from apigateway.policy.endpoint_pool import TICK
from apigateway.policy.selection import MAX_COMPARED

BIG = make_plan(rate=100000.0, burst=400000.0)


def world(hosts, gateways=1, **kw):
    return GatewayHarness(
        make_settings(plans=[BIG], gateway_count=gateways, limits={"can_hedge": False}, **kw), hosts
    )


class Oracle:
    """What each host may get, from the events alone: told of each event and each action, in order."""

    def __init__(self, conf):
        self.conf, self.up, self.hosts = conf, set(), {}
        self.out = {}  # (id, attempt): host
        self.sent, self.ran = {}, {}  # id: hosts tried; id: (host, when) that may have run
        self.requests, self.over = {}, set()

    def listed(self, event):
        if event.mode not in ("delta", "failed"):
            self.up = set()
        for one in event.endpoints:
            self.hosts[one.id] = one
            (self.up.add if one.state == "up" else self.up.discard)(one.id)

    def outcome(self, event, now):
        self.out.pop((event.request_id, event.attempt), None)
        if event.result in ("error", "timeout", "reset", "cancelled"):
            self.ran.setdefault(event.request_id, []).append((event.endpoint_id, now))

    def allowed(self, act):
        req = self.requests[act.request_id]
        cls = self.conf.classes[req.service_class]
        assert act.endpoint_id in self.up, "sent to a host that is not up"
        assert act.request_id not in self.over, "sent after its answer"
        assert act.endpoint_id not in self.sent.get(act.request_id, ()), "sent to the same host again"
        assert not any(id == act.request_id for id, _ in self.out), "two attempts at once"
        route = self.conf.routes.get(req.route)
        if route and not route.fallback:
            assert self.hosts[act.endpoint_id].kind in route.endpoint_kinds, "sent past its route"
        for ran, _ in self.ran.get(act.request_id, ()):
            assert cls.idempotency != "unsafe", "an unsafe request that may have run was sent again"
            if cls.idempotency == "keyed" and cls.deduplication_scope == "cell":
                assert self.hosts[ran].cell == self.hosts[act.endpoint_id].cell, "sent out of its scope"
            if cls.idempotency == "keyed" and cls.deduplication_scope == "zone":
                assert self.hosts[ran].zone == self.hosts[act.endpoint_id].zone, "sent out of its scope"
        attempt = len(self.sent.setdefault(act.request_id, []))
        self.sent[act.request_id].append(act.endpoint_id)
        self.out[act.request_id, attempt] = act.endpoint_id

    def acts(self, acts):
        for act in acts:
            if isinstance(act, messages.ForwardRequest):
                self.allowed(act)
            elif isinstance(act, messages.Reject | messages.Fail):
                assert act.request_id not in self.over, "answered twice"
                self.over.add(act.request_id)


def index_is_true(fleet, now):
    free = {
        s.host.id
        for s in fleet.endpoints.values()
        if s.is_up and len(s.attempts_in_flight) < s.max_attempts_in_flight
    }
    assert {s.host.id for s in fleet.subset_with_capacity} == free and len(fleet.subset_with_capacity) == len(
        free
    )
    assert all(fleet.subset_with_capacity[s.position] is s for s in fleet.subset_with_capacity)
    assert all((s.position >= 0) == (s.host.id in free) for s in fleet.available)
    assert fleet.attempts_in_flight == sum(len(s.attempts_in_flight) for s in fleet.endpoints.values())
    assert {s for s in fleet.available if s.backoff} <= fleet.health.failing
    if now >= fleet.no_capacity_until:
        assert fleet.any_capacity(now) == any(fleet.has_capacity(s, now) for s in fleet.available)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask"] * 6 + ["end"] * 6 + ["wait", "list", "delta", "burst"]), st.integers(0, 10**6)
    ),
    min_size=10,
    max_size=120,
)


@seed(13)
@tries(max_examples=120, deadline=None, database=None)
@given(st.integers(3, 3 * MAX_COMPARED), st.integers(1, 4), STEPS)
def test_each_host_that_is_chosen_was_allowed_and_the_index_is_true(count, gateways, steps):
    routes = {"batch": messages.Route("batch", ("slow",), False)}
    hosts = [
        messages.Endpoint(
            f"h{n}",
            "z12"[n % 2 :][:2],
            n % 3,
            1.0,
            "k" if n % 4 else "slow",
            "up",
            1000.0 if n % 5 == 0 else 0.0,
        )
        for n in range(count)
    ]
    w = world(hosts, gateways, routes=routes)
    oracle = Oracle(w.settings)
    oracle.listed(messages.EndpointList("cached", 1, tuple(hosts)))
    for number, (what, value) in enumerate(steps):
        rng = random.Random(value)
        if what in ("ask", "burst"):
            for k in range(20 if what == "burst" else 1):
                id = f"q{number}-{k}"
                req = messages.Request(
                    id,
                    3.0,
                    f"c{value % 7}",
                    "p",
                    rng.choice(["read", "write", "cellwrite", "note"]),
                    1.0,
                    0,
                    1,
                    route=rng.choice(["", "", "batch"]),
                )
                oracle.requests[id] = req
                oracle.acts(w.handle(req))
        elif what == "end" and oracle.out:
            (id, attempt), at = rng.choice(sorted(oracle.out.items()))
            result = rng.choice(["ok"] * 5 + ["error", "timeout", "reset", "full", "connect_failed"])
            event = messages.AttemptOutcome(
                id,
                attempt,
                at,
                result,
                0.05,
                result == "ok",
                load_report={"inflight": rng.random() * 8} if result == "ok" else {},
            )
            if result == "ok":
                oracle.over.add(id)
            oracle.outcome(event, w.now)
            oracle.acts(w.handle(event))
        elif what == "wait":
            oracle.acts([a for a in w.advance(value % 40 / 100) if not isinstance(a, messages.CancelAttempt)])
        elif what in ("list", "delta"):
            some = rng.sample(hosts, rng.randint(1, count))
            states = [
                messages.Endpoint(
                    h.id,
                    h.zone,
                    h.cell,
                    1.0,
                    h.kind,
                    rng.choice(["up", "up", "leaving", "down"]),
                    h.started_at,
                )
                for h in some
            ]
            event = messages.EndpointList("full" if what == "list" else "delta", number + 2, tuple(states))
            oracle.listed(event)
            oracle.acts(w.handle(event))
        index_is_true(w.gateway.pool, w.now)


def ask(w, count, service_class="read", left=3.0):
    return [
        s
        for _ in range(count)
        for s in actions_of(
            w.send_request(service_class=service_class, remaining=left, spread=1)[1], messages.ForwardRequest
        )
    ]


def many(count, started_at=0.0, **kw):
    return [make_host(f"h{n}", "z1", n % 5, started_at=started_at, **kw) for n in range(count)]


def test_what_waits_goes_out_as_soon_as_a_host_is_free_however_many_are_full():
    w = world(many(200))
    out = ask(w, 900)
    assert len(out) == 800 == w.gateway.pool.attempts_in_flight and not w.gateway.pool.subset_with_capacity
    waiting = w.gateway.queue.waiting_count
    assert waiting
    for send in out[:waiting]:
        assert (
            len(actions_of(w.end_attempt(send), messages.ForwardRequest)) == 1
        )  # each place that is left is taken at once
    assert not w.gateway.queue.waiting_count


def test_of_a_thousand_half_fall_silent_and_the_others_serve():
    w = world(many(1000))
    served = 0
    for _ in range(60):
        for send in ask(w, 20):
            if int(send.endpoint_id[1:]) % 2:
                w.end_attempt(send)
                served += 1
        w.advance(0.05)
    silent = [
        len(s.attempts_in_flight) for s in w.gateway.pool.endpoints.values() if int(s.host.id[1:]) % 2 == 0
    ]
    late = [s for s in ask(w, 200) if int(s.endpoint_id[1:]) % 2]
    assert served > 500 and sum(silent) < 4 * 500 and len(late) > 110  # they draw less than their half now


@pytest.mark.parametrize("gateways", [1, 4])
def test_of_a_thousand_five_hundred_come_up_cold_and_none_is_pushed_over(gateways):
    hosts = many(500) + [make_host(f"c{n}", "z1", 0, started_at=1000.0) for n in range(500)]
    worlds = [
        GatewayHarness(
            make_settings(plans=[BIG], gateway_count=gateways, gateway_index=n, limits={"can_hedge": False}),
            hosts,
            seed=n,
        )
        for n in range(gateways)
    ]
    sent = {}
    for _ in range(40):
        for w in worlds:
            for send in ask(w, 2000 // 40 // gateways * 4):
                sent.setdefault(send.endpoint_id, []).append(w.now)
                w.end_attempt(send)
            w.advance(0.05)
    rate = sum(map(len, sent.values())) / 2.0 / 1000  # a host's even part of all, a second
    cold = [len(times) for name, times in sent.items() if name[0] == "c"]
    # By the rules it bears 0.2 of its capacity and twice that for a while; it got a part of an even one.
    assert cold and max(cold) <= max(2 * gateways, 2.0 * rate * 2.0)


def test_all_drain_but_three_and_a_list_that_is_replaced_again_and_again():
    w = world(many(1000))
    left = ["h1", "h501", "h999"]
    states = [
        make_host(f"h{n}", "z1", n % 5, state="up" if f"h{n}" in left else "leaving") for n in range(1000)
    ]
    for version in range(20):
        w.handle(
            messages.EndpointList("full", version + 2, tuple(states if version % 2 == 0 else many(1000)))
        )
    w.handle(messages.EndpointList("full", 99, tuple(states)))
    assert {s.endpoint_id for s in ask(w, 30)} <= set(left) and len(w.gateway.pool.available) == 3


def test_a_fleet_under_ever_new_names_is_forgotten_at_once():
    w = world(many(10))
    for turn in range(5):
        w.handle(
            messages.EndpointList("full", turn + 2, tuple(make_host(f"t{turn}-{n}") for n in range(1000)))
        )
        for send in ask(w, 100):
            for again in actions_of(w.end_attempt(send, "error"), messages.ForwardRequest):
                w.end_attempt(again, attempt=1)
        w.now += 100.0
    w.handle(messages.EndpointList("full", 99, tuple(many(3))))
    w.now += 100.0
    w.handle(messages.EndpointList("full", 100, tuple(many(3))))
    assert len(w.gateway.pool.endpoints) == 3 and len(w.gateway.pool.health.outliers.hosts) <= 3


def test_no_work_of_a_choice_grows_with_the_fleet():
    """Counted, not timed: how many hosts are looked at for a request."""
    looked = {}
    for count in (100, 1000, 3000):
        w = world(many(count))
        seen, real = [0], w.gateway.pool.has_capacity

        def counted(*args, seen=seen, real=real):
            seen[0] += 1
            return real(*args)

        w.gateway.pool.has_capacity = counted
        for send in ask(w, 100):
            w.end_attempt(send)
        looked[count] = seen[0] / 100
    assert looked[3000] <= 1.5 * looked[100] < 60, looked


def test_while_all_are_full_a_request_looks_at_none():
    w = world(many(1000))
    ask(w, 4000)
    w.advance(TICK)
    seen, real = [0], w.gateway.pool.has_capacity
    w.gateway.pool.has_capacity = lambda *args: (seen.__setitem__(0, seen[0] + 1), real(*args))[1]
    ask(w, 50)
    assert seen[0] == 0

"""The selection of a host, checked against a slow oracle and with large numbers of hosts."""

import random

import pytest
from helpers import DecisionHarness, actions_of, make_host, make_plan, make_settings
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.policy.endpoint_pool import TICK_S
from apigateway.policy.selection import MAX_COMPARED

LARGE_PLAN = make_plan(rate=100000.0, burst=400000.0)


def make_harness(hosts, gateway_count=1, **overrides):
    return DecisionHarness(
        make_settings(
            plans=[LARGE_PLAN], gateway_count=gateway_count, limits={"can_hedge": False}, **overrides
        ),
        hosts,
    )


class RuleOracle:
    """Asserts for every action that it keeps the rules, from the events and actions alone."""

    def __init__(self, settings):
        self.settings, self.up_ids, self.hosts = settings, set(), {}
        self.in_flight = {}  # host by request ID and attempt
        # By request ID: the hosts tried, and the hosts that may have executed it with the time.
        self.tried_ids, self.possible_executions = ({}, {})
        self.requests, self.answered_ids = {}, set()

    def on_endpoint_list(self, event):
        if event.mode not in ("delta", "failed"):
            self.up_ids = set()
        for host in event.endpoints:
            self.hosts[host.id] = host
            (self.up_ids.add if host.state == "up" else self.up_ids.discard)(host.id)

    def on_outcome(self, event, now):
        self.in_flight.pop((event.request_id, event.attempt), None)
        if event.result in ("error", "timeout", "reset", "cancelled"):
            self.possible_executions.setdefault(event.request_id, []).append((event.endpoint_id, now))

    def check_forward(self, action):
        request = self.requests[action.request_id]
        service_class = self.settings.classes[request.service_class]
        assert action.endpoint_id in self.up_ids, "sent to a host that is not up"
        assert action.request_id not in self.answered_ids, "sent after it was answered"
        assert action.endpoint_id not in self.tried_ids.get(action.request_id, ()), (
            "sent to the same host again"
        )
        assert not any(request_id == action.request_id for request_id, _ in self.in_flight), (
            "two attempts at once"
        )
        route = self.settings.routes.get(request.route)
        if route and not route.fallback:
            assert self.hosts[action.endpoint_id].kind in route.endpoint_kinds, (
                "sent to a kind of host that its route does not allow"
            )
        for host_id, _ in self.possible_executions.get(action.request_id, ()):
            assert service_class.idempotency != "unsafe", (
                "an unsafe request that may have been executed was sent again"
            )
            if service_class.idempotency == "keyed" and service_class.deduplication_scope == "cell":
                assert self.hosts[host_id].cell == self.hosts[action.endpoint_id].cell, (
                    "sent outside its deduplication scope"
                )
            if service_class.idempotency == "keyed" and service_class.deduplication_scope == "zone":
                assert self.hosts[host_id].zone == self.hosts[action.endpoint_id].zone, (
                    "sent outside its deduplication scope"
                )
        attempt = len(self.tried_ids.setdefault(action.request_id, []))
        self.tried_ids[action.request_id].append(action.endpoint_id)
        self.in_flight[action.request_id, attempt] = action.endpoint_id

    def check_actions(self, actions):
        for action in actions:
            if isinstance(action, messages.ForwardRequest):
                self.check_forward(action)
            elif isinstance(action, messages.Reject | messages.Fail):
                assert action.request_id not in self.answered_ids, "answered twice"
                self.answered_ids.add(action.request_id)


def assert_pool_index_is_consistent(pool, now):
    ids_with_capacity = {
        endpoint.host.id
        for endpoint in pool.endpoints.values()
        if endpoint.is_up and len(endpoint.attempts_in_flight) < endpoint.max_attempts_in_flight
    }
    assert {endpoint.host.id for endpoint in pool.subset_with_capacity} == ids_with_capacity and len(
        pool.subset_with_capacity
    ) == len(ids_with_capacity)
    assert all(
        pool.subset_with_capacity[endpoint.position] is endpoint for endpoint in pool.subset_with_capacity
    )
    assert all(
        (endpoint.position >= 0) == (endpoint.host.id in ids_with_capacity) for endpoint in pool.available
    )
    assert pool.attempts_in_flight == sum(
        len(endpoint.attempts_in_flight) for endpoint in pool.endpoints.values()
    )
    assert {endpoint for endpoint in pool.available if endpoint.backoff} <= pool.health.failing
    if now >= pool.no_capacity_until:
        assert pool.has_any_capacity(now) == any(
            pool.has_capacity(endpoint, now) for endpoint in pool.available
        )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask"] * 6 + ["end"] * 6 + ["wait", "list", "delta", "burst"]), st.integers(0, 10**6)
    ),
    min_size=10,
    max_size=120,
)


@seed(13)
@settings(max_examples=120, deadline=None, database=None)
@given(st.integers(3, 3 * MAX_COMPARED), st.integers(1, 4), STEPS)
def test_selected_hosts_are_allowed_and_the_index_is_consistent(host_count, gateway_count, steps):
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
        for n in range(host_count)
    ]
    harness = make_harness(hosts, gateway_count, routes=routes)
    oracle = RuleOracle(harness.settings)
    oracle.on_endpoint_list(messages.EndpointList("cached", 1, tuple(hosts)))
    for step_number, (step, value) in enumerate(steps):
        rng = random.Random(value)
        if step in ("ask", "burst"):
            for k in range(20 if step == "burst" else 1):
                request_id = f"q{step_number}-{k}"
                request = messages.Request(
                    request_id,
                    3.0,
                    f"c{value % 7}",
                    "p",
                    rng.choice(["read", "write", "cellwrite", "note"]),
                    1.0,
                    0,
                    1,
                    route=rng.choice(["", "", "batch"]),
                )
                oracle.requests[request_id] = request
                oracle.check_actions(harness.handle(request))
        elif step == "end" and oracle.in_flight:
            (request_id, attempt), host_id = rng.choice(sorted(oracle.in_flight.items()))
            result = rng.choice(["ok"] * 5 + ["error", "timeout", "reset", "full", "connect_failed"])
            event = messages.AttemptOutcome(
                request_id,
                attempt,
                host_id,
                result,
                0.05,
                result == "ok",
                load_report={"inflight": rng.random() * 8} if result == "ok" else {},
            )
            if result == "ok":
                oracle.answered_ids.add(request_id)
            oracle.on_outcome(event, harness.now)
            oracle.check_actions(harness.handle(event))
        elif step == "wait":
            oracle.check_actions(
                [
                    action
                    for action in harness.advance(value % 40 / 100)
                    if not isinstance(action, messages.CancelAttempt)
                ]
            )
        elif step in ("list", "delta"):
            changed_hosts = rng.sample(hosts, rng.randint(1, host_count))
            listed_hosts = [
                messages.Endpoint(
                    host.id,
                    host.zone,
                    host.cell,
                    1.0,
                    host.kind,
                    rng.choice(["up", "up", "leaving", "down"]),
                    host.started_at,
                )
                for host in changed_hosts
            ]
            event = messages.EndpointList(
                "full" if step == "list" else "delta", step_number + 2, tuple(listed_hosts)
            )
            oracle.on_endpoint_list(event)
            oracle.check_actions(harness.handle(event))
        assert_pool_index_is_consistent(harness.gateway.pool, harness.now)


def forward_requests(harness, request_count, service_class="read", remaining=3.0):
    return [
        forward
        for _ in range(request_count)
        for forward in actions_of(
            harness.send_request(service_class=service_class, remaining=remaining, spread=1)[1],
            messages.ForwardRequest,
        )
    ]


def make_hosts(host_count, started_at=0.0, **overrides):
    return [make_host(f"h{n}", "z1", n % 5, started_at=started_at, **overrides) for n in range(host_count)]


def test_queued_requests_are_sent_as_soon_as_a_host_is_free():
    harness = make_harness(make_hosts(200))
    forwards = forward_requests(harness, 900)
    assert (
        len(forwards) == 800 == harness.gateway.pool.attempts_in_flight
        and not harness.gateway.pool.subset_with_capacity
    )
    waiting_count = harness.gateway.queue.waiting_count
    assert waiting_count
    for forward in forwards[:waiting_count]:
        # The free capacity is used at once.
        assert len(actions_of(harness.end_attempt(forward), messages.ForwardRequest)) == 1
    assert not harness.gateway.queue.waiting_count


def test_half_of_1000_hosts_are_silent_and_the_others_get_more_requests():
    harness = make_harness(make_hosts(1000))
    served_count = 0
    for _ in range(60):
        for forward in forward_requests(harness, 20):
            if int(forward.endpoint_id[1:]) % 2:
                harness.end_attempt(forward)
                served_count += 1
        harness.advance(0.05)
    silent_attempts = [
        len(endpoint.attempts_in_flight)
        for endpoint in harness.gateway.pool.endpoints.values()
        if int(endpoint.host.id[1:]) % 2 == 0
    ]
    late_forwards = [
        forward for forward in forward_requests(harness, 200) if int(forward.endpoint_id[1:]) % 2
    ]
    # The silent hosts get less than half now.
    assert served_count > 500 and sum(silent_attempts) < 4 * 500 and len(late_forwards) > 110


@pytest.mark.parametrize("gateway_count", [1, 4])
def test_500_hosts_in_slow_start_are_not_overloaded(gateway_count):
    hosts = make_hosts(500) + [make_host(f"c{n}", "z1", 0, started_at=1000.0) for n in range(500)]
    harnesses = [
        DecisionHarness(
            make_settings(
                plans=[LARGE_PLAN], gateway_count=gateway_count, gateway_index=n, limits={"can_hedge": False}
            ),
            hosts,
            seed=n,
        )
        for n in range(gateway_count)
    ]
    send_times = {}
    for _ in range(40):
        for harness in harnesses:
            for forward in forward_requests(harness, 2000 // 40 // gateway_count * 4):
                send_times.setdefault(forward.endpoint_id, []).append(harness.now)
                harness.end_attempt(forward)
            harness.advance(0.05)
    # An equal share of all attempts, per host and second.
    mean_rate = sum(map(len, send_times.values())) / 2.0 / 1000
    slow_start_counts = [len(times) for name, times in send_times.items() if name[0] == "c"]
    # By the rules, a host in slow start withstands 0.2 of its capacity, and twice that for some time.
    assert slow_start_counts and max(slow_start_counts) <= max(2 * gateway_count, 2.0 * mean_rate * 2.0)


def test_only_up_hosts_are_selected_after_many_lists():
    harness = make_harness(make_hosts(1000))
    up_ids = ["h1", "h501", "h999"]
    listed_hosts = [
        make_host(f"h{n}", "z1", n % 5, state="up" if f"h{n}" in up_ids else "leaving") for n in range(1000)
    ]
    for version in range(20):
        harness.handle(
            messages.EndpointList(
                "full", version + 2, tuple(listed_hosts if version % 2 == 0 else make_hosts(1000))
            )
        )
    harness.handle(messages.EndpointList("full", 99, tuple(listed_hosts)))
    assert {forward.endpoint_id for forward in forward_requests(harness, 30)} <= set(up_ids) and len(
        harness.gateway.pool.available
    ) == 3


def test_hosts_with_new_names_in_each_list_are_removed():
    harness = make_harness(make_hosts(10))
    for version in range(5):
        harness.handle(
            messages.EndpointList(
                "full", version + 2, tuple(make_host(f"t{version}-{n}") for n in range(1000))
            )
        )
        for forward in forward_requests(harness, 100):
            for retry in actions_of(harness.end_attempt(forward, "error"), messages.ForwardRequest):
                harness.end_attempt(retry, attempt=1)
        harness.now += 100.0
    harness.handle(messages.EndpointList("full", 99, tuple(make_hosts(3))))
    harness.now += 100.0
    harness.handle(messages.EndpointList("full", 100, tuple(make_hosts(3))))
    assert len(harness.gateway.pool.endpoints) == 3 and len(harness.gateway.pool.health.outliers.hosts) <= 3


def test_work_per_selection_does_not_grow_with_the_number_of_hosts():
    """Count the hosts that are checked for each request, instead of measuring time."""
    checks_per_request = {}
    for host_count in (100, 1000, 3000):
        harness = make_harness(make_hosts(host_count))
        check_count, real_has_capacity = [0], harness.gateway.pool.has_capacity

        def counting_has_capacity(*args, check_count=check_count, real_has_capacity=real_has_capacity):
            check_count[0] += 1
            return real_has_capacity(*args)

        harness.gateway.pool.has_capacity = counting_has_capacity
        for forward in forward_requests(harness, 100):
            harness.end_attempt(forward)
        checks_per_request[host_count] = check_count[0] / 100
    assert checks_per_request[3000] <= 1.5 * checks_per_request[100] < 60, checks_per_request


def test_requests_check_no_host_while_all_are_full():
    harness = make_harness(make_hosts(1000))
    forward_requests(harness, 4000)
    harness.advance(TICK_S)
    check_count, real_has_capacity = [0], harness.gateway.pool.has_capacity
    harness.gateway.pool.has_capacity = lambda *args: (
        check_count.__setitem__(0, check_count[0] + 1),
        real_has_capacity(*args),
    )[1]
    forward_requests(harness, 50)
    assert check_count[0] == 0

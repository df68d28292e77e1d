"""Large numbers of customers: the quotas that are kept are bounded, and so is what customers may use."""

import pytest
from helpers import DecisionHarness, actions_of, make_host, make_plan, make_settings
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.policy.customers import MIN_IDLE_S, QUOTAS_CHECKED_PER_REQUEST

HOSTS = [make_host(f"h{n}") for n in range(4)]


def make_harness(max_customers=0, plans=None, **overrides):
    return DecisionHarness(
        make_settings(
            plans=plans or [make_plan(rate=2.0, burst=8.0)],
            max_customers=max_customers,
            **{"gateway_count": 1, **overrides},
        ),
        HOSTS,
    )


def is_served(harness, customer):
    """Send a request that is answered at once, and return whether it was forwarded."""
    request_id, actions = harness.send_request(customer, spread=1)
    forwards = actions_of(actions, messages.ForwardRequest)
    for forward in forwards:
        harness.end_attempt(forward, elapsed=0.001)
    assert len(forwards) + len(actions_of(actions, messages.Reject)) == 1
    return bool(forwards)


def test_200000_customers_that_come_once_take_bounded_memory_and_few_counter_keys():
    gateway, now, counter_calls = make_harness(max_customers=20_000).gateway, 1000.0, []
    for n in range(200_000):
        now += 0.00005
        actions = gateway.handle(now, messages.Request(f"r{n}", 3.0, f"{n:016x}", "p", "read", 1, 0, 1))
        for action in actions:
            if isinstance(action, messages.AddToCounter):
                counter_calls.append(action)
                actions += gateway.handle(
                    now, messages.CounterResult(action.counter_key, "ok", action.amount, 0.001)
                )
        (forward,) = actions_of(actions, messages.ForwardRequest)
        gateway.handle(
            now, messages.AttemptOutcome(forward.request_id, 0, forward.endpoint_id, "ok", 0.001, True)
        )
        assert len(gateway.quotas) <= 20_000
    assert not gateway.pending and not gateway.queue.entry_count
    # Only customers that the filter takes for evicted ones lead to a call: few keys, each kept for seconds.
    assert len(counter_calls) <= 200_000 * 0.05 and max(call.lifetime for call in counter_calls) <= 12.0


def test_idle_quotas_are_dropped_after_a_time_without_a_limit():
    harness = make_harness()
    for n in range(2_000):
        harness.now += 0.0005
        is_served(harness, f"{n:016x}")
    assert len(harness.gateway.quotas) == 2_000
    harness.now += MIN_IDLE_S + 30
    for n in range(1_000):
        is_served(harness, f"late-{n}")
    assert len(harness.gateway.quotas) <= 1_000 + 2_000 - QUOTAS_CHECKED_PER_REQUEST * 400


def test_frequent_customer_is_held_to_its_quota_among_many_new_customers():
    harness, passed = make_harness(max_customers=500), 0
    start = harness.now
    for n in range(20_000):
        harness.now += 0.001
        if n % 10 == 0:
            passed += is_served(harness, "often")
        else:
            assert is_served(harness, f"{n:016x}")
    assert passed <= 8.0 + 2.0 * (harness.now - start) + 4  # after an eviction it would get far more


def test_evicted_customers_that_return_are_held_to_twice_their_rate():
    passed = {}
    for max_customers in (0, 10):
        harness, passed[max_customers] = make_harness(max_customers=max_customers), [0] * 40
        # 40 customers in turn with 10 kept quotas: each is evicted before its next request.
        for n in range(8_000):
            harness.now += 0.005
            passed[max_customers][n % 40] += is_served(harness, f"{n % 40:016x}")
    quota = 8.0 + 2.0 * 40
    assert max(passed[0]) <= quota + 8  # without a limit
    # With a limit, at most twice the rate.
    assert max(passed[10]) <= 2 * 2.0 * 40 + 8 < 200 and min(passed[10]) >= 0.8 * quota


def test_20000_windows_that_end_at_once_cause_at_most_one_call_each():
    harness = make_harness(plans=[make_plan(rate=2.0, burst=8.0)])
    for n in range(20_000):
        assert is_served(harness, f"{n:016x}")
    harness.now += 8.0 / 2.0  # the length of a window: all windows have ended, at any phase
    before = len(harness.action_log)
    for n in range(20_000):
        assert is_served(harness, f"{n:016x}")
    actions_after = [action for _, action in harness.action_log[before:]]
    assert sum(isinstance(action, messages.ForwardRequest) for action in actions_after) == 20_000
    # At most one call for each customer.
    assert sum(isinstance(action, messages.AddToCounter) for action in actions_after) <= 20_000


def test_new_customer_gets_a_retry_after_while_all_quotas_are_in_use():
    harness = DecisionHarness(
        make_settings(plans=[make_plan(rate=100.0, burst=100.0)], max_customers=2, gateway_count=1), HOSTS
    )
    # The requests of both customers stay in flight.
    held_actions = [harness.send_request(customer, spread=1)[1] for customer in ("a", "b")]
    harness.gateway.quotas["a"].local_slots_used = harness.gateway.quotas["b"].local_slots_used = 1
    request_id, actions = harness.send_request("c", spread=1)
    assert actions == [messages.Reject(request_id, 1.0)] and request_id not in harness.gateway.pending
    assert set(harness.gateway.quotas) == {"a", "b"}
    harness.gateway.quotas["a"].local_slots_used = 0
    assert (
        actions_of(harness.send_request("c", spread=1)[1], messages.ForwardRequest)
        and "a" not in harness.gateway.quotas
        and held_actions
    )


@seed(13)
@settings(max_examples=150, deadline=None, database=None)
@given(
    st.lists(st.tuples(st.integers(0, 9), st.floats(0, 0.6)), min_size=30, max_size=250),
    st.sampled_from(["answer", "silent", "refuse"]),
)
def test_ceilings_hold_for_evicted_customers(steps, counter_mode):
    ceiling = make_plan(rate=3.0, burst=4.0, ceiling_rate=4.0, ceiling_burst=6.0, ceiling_slack=0.0)
    harness = make_harness(max_customers=3, plans=[ceiling])
    harness.counter_mode = counter_mode
    passed = {}
    for customer, gap in steps:
        harness.now += gap
        if is_served(harness, f"{customer:016x}"):
            passed.setdefault(customer, []).append(harness.now)
        assert len(harness.gateway.quotas) <= 3
    for times in passed.values():
        for i, start in enumerate(times):
            for j in range(i, len(times)):
                assert j - i + 1 <= 6.0 + 4.0 * (times[j] - start) + 1e-6


def test_settings_reject_a_negative_customer_limit():
    with pytest.raises(ValueError):
        make_settings(max_customers=-1)

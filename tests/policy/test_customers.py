"""Customers in number: what is kept of them is bounded, and what they may use stays bounded too."""

import pytest
from helpers import GatewayHarness, actions_of, make_host, make_plan, make_settings
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.policy.customers import CHECKED_PER_REQUEST, MIN_IDLE

HOSTS = [make_host(f"h{n}") for n in range(4)]


def world(most=0, plans=None, **kw):
    return GatewayHarness(
        make_settings(
            plans=plans or [make_plan(rate=2.0, burst=8.0)], max_customers=most, **{"gateway_count": 1, **kw}
        ),
        HOSTS,
    )


def asked(w, customer):
    """One request, answered at once. Whether it was served."""
    name, acts = w.send_request(customer, spread=1)
    sent = actions_of(acts, messages.ForwardRequest)
    for send in sent:
        w.end_attempt(send, elapsed=0.001)
    assert len(sent) + len(actions_of(acts, messages.Reject)) == 1
    return bool(sent)


def test_two_hundred_thousand_that_come_once_take_bounded_memory_and_no_names():
    gateway, now, calls = world(most=20_000).gateway, 1000.0, []
    for n in range(200_000):
        now += 0.00005
        told = gateway.handle(now, messages.Request(f"r{n}", 3.0, f"{n:016x}", "p", "read", 1, 0, 1))
        for act in told:
            if isinstance(act, messages.AddToCounter):
                calls.append(act)
                told += gateway.handle(now, messages.CounterResult(act.counter_key, "ok", act.amount, 0.001))
        (sent,) = actions_of(told, messages.ForwardRequest)
        gateway.handle(now, messages.AttemptOutcome(sent.request_id, 0, sent.endpoint_id, "ok", 0.001, True))
        assert len(gateway.quotas) <= 20_000
    assert not gateway.pending and not gateway.queue.entry_count
    # The counter hears of those only that look like one that was forgotten: few names, each for some seconds.
    assert len(calls) <= 200_000 * 0.05 and max(call.lifetime for call in calls) <= 12.0


def test_without_a_bound_they_go_by_time():
    w = world()
    for n in range(2_000):
        w.now += 0.0005
        asked(w, f"{n:016x}")
    assert len(w.gateway.quotas) == 2_000
    w.now += MIN_IDLE + 30
    for n in range(1_000):
        asked(w, f"late-{n}")
    assert len(w.gateway.quotas) <= 1_000 + 2_000 - CHECKED_PER_REQUEST * 400


def test_one_customer_with_a_tenth_of_all_keeps_to_its_quota_among_ever_new_ones():
    w, passed = world(most=500), 0
    began = w.now
    for n in range(20_000):
        w.now += 0.001
        if n % 10 == 0:
            passed += asked(w, "often")
        else:
            assert asked(w, f"{n:016x}")
    assert passed <= 8.0 + 2.0 * (w.now - began) + 4  # once forgotten it would be far over that


def test_who_uses_its_quota_again_and_again_is_held_to_it_by_the_counter_though_forgotten():
    passed = {}
    for most in (0, 10):
        w, passed[most] = world(most=most), [0] * 40
        # forty in turn, of whom ten are known: each is forgotten before it comes again
        for n in range(8_000):
            w.now += 0.005
            passed[most][n % 40] += asked(w, f"{n % 40:016x}")
    quota = 8.0 + 2.0 * 40
    assert max(passed[0]) <= quota + 8  # as it is without a bound,
    # at most twice its rate
    assert max(passed[10]) <= 2 * 2.0 * 40 + 8 < 200 and min(passed[10]) >= 0.8 * quota


def test_every_window_turns_in_the_same_second():
    w = world(plans=[make_plan(rate=2.0, burst=8.0)])
    for n in range(20_000):
        assert asked(w, f"{n:016x}")
    w.now += 8.0 / 2.0  # a window's length: all have turned, whatever their phase
    before = len(w.action_log)
    for n in range(20_000):
        assert asked(w, f"{n:016x}")
    turned = [act for _, act in w.action_log[before:]]
    assert sum(isinstance(act, messages.ForwardRequest) for act in turned) == 20_000
    assert (
        sum(isinstance(act, messages.AddToCounter) for act in turned) <= 20_000
    )  # one call each at most, no storm


def test_with_nobody_to_forget_a_new_one_is_told_when_to_come_back():
    w = GatewayHarness(
        make_settings(plans=[make_plan(rate=100.0, burst=100.0)], max_customers=2, gateway_count=1), HOSTS
    )
    held = [w.send_request(name, spread=1)[1] for name in ("a", "b")]  # their requests are out
    w.gateway.quotas["a"].open_attempts = w.gateway.quotas["b"].open_attempts = 1
    name, acts = w.send_request("c", spread=1)
    assert acts == [messages.Reject(name, 1.0)] and name not in w.gateway.pending
    assert set(w.gateway.quotas) == {"a", "b"}
    w.gateway.quotas["a"].open_attempts = 0
    assert (
        actions_of(w.send_request("c", spread=1)[1], messages.ForwardRequest)
        and "a" not in w.gateway.quotas
        and held
    )


@seed(13)
@settings(max_examples=150, deadline=None, database=None)
@given(
    st.lists(st.tuples(st.integers(0, 9), st.floats(0, 0.6)), min_size=30, max_size=250),
    st.sampled_from(["answer", "silent", "refuse"]),
)
def test_ceilings_hold_for_those_who_are_forgotten(steps, counter):
    ceiling = make_plan(rate=3.0, burst=4.0, ceiling_rate=4.0, ceiling_burst=6.0, ceiling_slack=0.0)
    w = world(most=3, plans=[ceiling])
    w.counter_mode = counter
    passed = {}
    for customer, gap in steps:
        w.now += gap
        if asked(w, f"{customer:016x}"):
            passed.setdefault(customer, []).append(w.now)
        assert len(w.gateway.quotas) <= 3
    for times in passed.values():
        for i, start in enumerate(times):
            for j in range(i, len(times)):
                assert j - i + 1 <= 6.0 + 4.0 * (times[j] - start) + 1e-6


def test_settings_refuse_a_bound_that_makes_no_sense():
    with pytest.raises(ValueError):
        make_settings(max_customers=-1)

"""Checks: units without a host. They spend what requests do, of the same store."""

import random

import pytest
from helpers import READ, GatewayHarness, actions_of, make_host, make_plan, make_settings
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages

HOSTS = [make_host(f"h{n}") for n in range(4)]
CEILED = dict(rate=3.0, burst=6.0, ceiling_rate=4.0, ceiling_burst=8.0, ceiling_slack=0.0)


def world(plans=None, **kw):
    return GatewayHarness(
        make_settings(plans=plans or [make_plan(rate=2.0, burst=8.0)], **{"gateway_count": 1, **kw}), HOSTS
    )


def check(w, customer="c", units=1.0, left=3.0, spread=1):
    """The one answer, where it comes at once."""
    w.request_count += 1
    acts = w.handle(messages.QuotaCheck(f"k{w.request_count}", left, customer, "p", "read", units, 0, spread))
    assert (
        not actions_of(acts, messages.ForwardRequest)
        + actions_of(acts, messages.Reject)
        + actions_of(acts, messages.Fail)
    )
    told = actions_of(acts, messages.QuotaGranted) + actions_of(acts, messages.QuotaDenied)
    assert len(told) <= 1 and all(one.request_id == f"k{w.request_count}" for one in told)
    return told[0] if told else None


def passed(w, customer="c", units=1.0):
    return isinstance(check(w, customer, units), messages.QuotaGranted)


def test_a_check_spends_units_tells_what_is_left_and_is_denied_beyond_them():
    w = world()
    told = [check(w) for _ in range(12)]
    granted = [one for one in told if isinstance(one, messages.QuotaGranted)]
    denied = [one for one in told if isinstance(one, messages.QuotaDenied)]
    # a new one is in the middle of a window
    assert 8 <= len(granted) <= 10 and told[: len(granted)] == granted
    assert len(granted) + len(denied) == 12
    assert [one.remaining for one in granted] == sorted((one.remaining for one in granted), reverse=True)
    assert granted[-1].remaining < 1.0 and 0 < granted[0].reset_after <= 4.0
    assert all(one.is_over_quota and one.retry_after > 0 for one in denied)
    assert not w.gateway.pending and not w.gateway.pool.attempts_in_flight


def test_checks_and_requests_share_one_store():
    w = world()
    taken = 0
    for n in range(20):
        taken += (
            passed(w)
            if n % 2
            else len(actions_of(w.send_request("c", spread=1)[1], messages.ForwardRequest) or []) > 0
        )
    assert 8 <= taken <= 10


@pytest.mark.parametrize(
    "units, fits", [(0, True), (6, True), (8.5, False), (1e6, False), (2.0**32 - 1, False)]
)
def test_any_number_of_units_is_answered(units, fits):
    w = world()
    assert passed(w, units=units) is fits
    assert passed(w, "other")  # and the next one is decided as ever


def test_none_is_asked_about_without_spending_any():
    w = world()
    assert all(passed(w, units=0) for _ in range(100))
    assert 8 <= sum(passed(w) for _ in range(20)) <= 10
    assert check(w, units=0).remaining < 1.0


def test_a_check_out_of_time_is_denied_but_not_over():
    told = check(world(), left=0.01)
    assert isinstance(told, messages.QuotaDenied) and not told.is_over_quota


def test_while_the_counter_is_silent_a_check_is_answered_in_its_time_and_one_that_left_is_not():
    w = world(gateway_count=2)
    w.counter_mode = "hold"
    first = [check(w, spread=2) for _ in range(8)]
    waiting = [job.request.request_id for job in w.gateway.pending.values()]
    assert None in first and waiting
    w.handle(messages.ClientDisconnected(waiting[0]))
    acts = w.advance(1.0)
    answered = [
        a.request_id for a in actions_of(acts, messages.QuotaGranted) + actions_of(acts, messages.QuotaDenied)
    ]
    assert sorted(answered) == sorted(waiting[1:]) and not w.gateway.pending
    # The counter's answer comes after all that: what it granted is a lease, and spent by whoever is next.
    call = next(act for _, act in w.action_log if isinstance(act, messages.AddToCounter))
    w.counter_mode = "answer"
    w.handle(messages.CounterResult(call.counter_key, "ok", call.amount, 0.3))
    assert w.gateway.quotas["c"].leased_units > 0 and passed(w)


def test_what_is_given_back_can_be_spent_again_in_its_window_only():
    w = world()
    told = [one for one in (check(w) for _ in range(12)) if isinstance(one, messages.QuotaGranted)]
    assert not passed(w)
    w.handle(messages.ReturnUnits("c", 3.0, told[-1].window_index))
    assert sum(passed(w) for _ in range(6)) == 3
    w.now += 8.0
    assert passed(w)
    lease = w.gateway.quotas["c"].leased_units
    w.handle(messages.ReturnUnits("c", 3.0, told[-1].window_index))
    assert w.gateway.quotas["c"].leased_units == lease
    w.handle(messages.ReturnUnits("nobody", 3.0, 1))


def test_a_ceiling_that_is_given_back_is_never_fuller_than_its_burst():
    w = world([make_plan(**CEILED)])
    w.now += 2.0  # the store is empty at a start
    told = check(w)
    for _ in range(5):
        w.handle(messages.ReturnUnits("c", 4.0, told.window_index))
    assert w.gateway.quotas["c"].ceiling.tokens <= 8.0


def test_in_overload_of_the_hosts_checks_are_shed_as_requests_are():
    w = world(gateway_count=8, plans=[make_plan(rate=1000.0, burst=1000.0)])
    w.gateway.load_shedder.admitted.share = 0.1
    w.gateway.pool.congestion.value, w.gateway.pool.congestion.observed_at = 1.0, w.now
    told = [check(w, f"c{n}") for n in range(200)]
    shed = [one for one in told if isinstance(one, messages.QuotaDenied)]
    assert len(shed) > 100 and not any(one.is_over_quota for one in shed)


def test_a_plan_with_open_attempts_only_has_no_quota_to_tell_of():
    told = check(world([make_plan(rate=0.0, burst=0.0, concurrency_limit=4)]))
    assert (
        isinstance(told, messages.QuotaGranted) and told.remaining == float("inf") and told.reset_after == 0.0
    )


@pytest.mark.parametrize("first", range(0, 2000, 250))
def test_at_the_edge_of_quota_and_ceiling_checks_and_requests_never_pass_more_than_allowed(first):
    """Thousands of seeds: some gateways, one customer, both kinds arriving in any order, the counter as it
    will."""
    for number in range(first, first + 250):
        rng = random.Random(number)
        count = rng.choice([1, 1, 2, 3])
        conf = [
            make_settings(plans=[make_plan(**CEILED)], gateway_count=count, gateway_index=n)
            for n in range(count)
        ]
        worlds = [GatewayHarness(one, HOSTS, seed=number * 8 + n) for n, one in enumerate(conf)]
        totals = {}
        for w in worlds:
            w.counter_totals = totals  # one counter for all
            w.counter_mode = rng.choice(["answer", "answer", "silent", "refuse"])
        asked = {}
        for _ in range(rng.randrange(20, 60)):
            gap = rng.choice([0.0, 0.0, 0.01, 0.2, 1.0])
            now = max(w.now for w in worlds) + gap  # a silent counter takes time of who asks it
            for w in worlds:
                w.now = now
            w, units = rng.choice(worlds), rng.choice([1.0, 1.0, 2.0])
            if rng.random() < 0.5:
                w.request_count += 1
                asked[w, f"k{w.request_count}"] = units
                w.handle(messages.QuotaCheck(f"k{w.request_count}", 3.0, "c", "p", "read", units, 0, count))
            else:
                name, acts = w.send_request("c", units=units, spread=count)
                asked[w, name] = units
                for send in actions_of(acts, messages.ForwardRequest):
                    w.end_attempt(send, elapsed=0.001)
        times = [
            (at, asked[w, act.request_id])
            for w in worlds
            for at, act in w.action_log
            if isinstance(act, messages.QuotaGranted | messages.ForwardRequest)
        ]
        times.sort()
        for i, (start, _) in enumerate(times):
            used = 0.0
            for at, units in times[i:]:
                used += units
                assert used <= 8.0 + 4.0 * (at - start) + 1e-6, number


@seed(14)
@settings(max_examples=150, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["check", "ask", "gone", "back", "wait"]),
            st.integers(0, 2),
            st.sampled_from([0.0, 0.5, 1.0, 3.0, 9.0]),
        ),
        max_size=80,
    ),
    st.sampled_from(["answer", "silent", "refuse", "hold"]),
)
def test_each_check_has_one_answer_at_most_and_one_in_its_time(steps, counter):
    w = world([make_plan(**CEILED)], gateway_count=2)
    w.counter_mode = counter
    asked, gone, window = {}, set(), 0
    for what, customer, amount in steps:
        name = f"c{customer}"
        if what == "check":
            w.request_count += 1
            asked[f"k{w.request_count}"] = w.now
            w.handle(messages.QuotaCheck(f"k{w.request_count}", 1.0, name, "p", "read", amount, 0, 2))
        elif what == "ask":
            w.send_request(name, spread=2)
        elif what == "gone" and asked:
            gone.add(next(reversed(asked)))
            w.handle(messages.ClientDisconnected(next(reversed(asked))))
        elif what == "back":
            w.handle(messages.ReturnUnits(name, amount, window))
        elif what == "wait":
            w.advance(amount / 3)
        told = [a for _, a in w.action_log if isinstance(a, messages.QuotaGranted)]
        window = told[-1].window_index if told else 0
    w.advance(1.2)
    answered = [
        a.request_id for _, a in w.action_log if isinstance(a, messages.QuotaGranted | messages.QuotaDenied)
    ]
    assert len(answered) == len(set(answered)) and set(answered) <= set(asked)
    assert set(asked) - set(answered) <= gone
    assert READ.deadline > 1.0 and not [job for job in w.gateway.pending.values() if job.request.is_check]

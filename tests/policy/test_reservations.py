"""Quota reservations, the prepaid requests that use them, and checks against custom limits."""

import random

import pytest
from helpers import DecisionHarness, actions_of, make_host, make_plan, make_settings
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages

HOSTS = [make_host(f"h{n}") for n in range(4)]
CEILING_LIMITS = dict(rate=3.0, burst=6.0, ceiling_rate=4.0, ceiling_burst=8.0, ceiling_slack=0.0)


def make_harness(plans=None, **overrides):
    return DecisionHarness(
        make_settings(plans=plans or [make_plan(rate=2.0, burst=8.0)], **{"gateway_count": 1, **overrides}),
        HOSTS,
    )


def submit(harness, kind, customer="c", units=1.0, spread=1, **fields):
    """Submit a request or check, and return its answer or its forwarded attempt if that comes at once."""
    harness.request_count += 1
    actions = harness.handle(
        kind(f"k{harness.request_count}", 3.0, customer, "p", "read", units, 0, spread, **fields)
    )
    answer = actions_of(
        actions, messages.QuotaGranted | messages.QuotaDenied | messages.ForwardRequest | messages.Reject
    )
    for forward in actions_of(actions, messages.ForwardRequest):
        harness.end_attempt(forward, elapsed=0.001)
    return answer[0] if answer else None


def test_prepaid_requests_spend_no_quota():
    harness = make_harness()
    while isinstance(submit(harness, messages.QuotaReservation), messages.QuotaGranted):
        pass
    assert isinstance(submit(harness, messages.Request), messages.Reject)
    assert all(
        isinstance(submit(harness, messages.PrepaidRequest), messages.ForwardRequest) for _ in range(20)
    )
    assert isinstance(submit(harness, messages.Request), messages.Reject)  # and they refund nothing


def test_prepaid_requests_are_held_to_the_ceiling_however_many_units_were_reserved():
    harness = make_harness([make_plan(**CEILING_LIMITS)])
    harness.now += 10.0  # the ceiling is full: 8 units, refilled by 4 per second
    granted = sum(
        isinstance(submit(harness, messages.QuotaReservation), messages.QuotaGranted) for _ in range(6)
    )
    harness.now += 2.0  # 8 units may be granted again; nothing has been forwarded yet
    granted += sum(
        isinstance(submit(harness, messages.QuotaReservation), messages.QuotaGranted) for _ in range(6)
    )
    assert granted >= 10
    sent = sum(
        isinstance(submit(harness, messages.PrepaidRequest), messages.ForwardRequest) for _ in range(granted)
    )
    assert sent == 8  # one burst
    assert isinstance(submit(harness, messages.Request), messages.Reject)  # nor may others use more
    harness.now += 1.0
    assert [
        isinstance(submit(harness, messages.PrepaidRequest), messages.ForwardRequest) for _ in range(5)
    ] == [True] * 4 + [False]


def test_returned_reservations_leave_both_buckets_of_the_ceiling_full():
    harness = make_harness([make_plan(**CEILING_LIMITS)])
    harness.now += 10.0
    for _ in range(3):
        answer = submit(harness, messages.QuotaReservation)
        harness.handle(messages.ReturnReservation("c", 1.0, answer.window_index))
    quota = harness.gateway.quotas["c"]
    assert quota.ceiling.tokens == pytest.approx(8.0) and quota.ceiling.reserved == pytest.approx(0.0)
    answer = submit(harness, messages.QuotaCheck)
    harness.handle(messages.ReturnUnits("c", 1.0, answer.window_index))
    assert quota.ceiling.tokens == pytest.approx(8.0) and quota.ceiling.reserved == pytest.approx(0.0)


def test_nothing_is_reserved_without_reservations():
    harness = make_harness([make_plan(**CEILING_LIMITS)])
    for _ in range(40):
        harness.now += 0.1
        submit(harness, messages.QuotaCheck)
        submit(harness, messages.Request)
        assert harness.gateway.quotas["c"].ceiling.reserved == 0.0


def max_excess(times, burst, rate):
    """Return by how many units these times exceed a token bucket that starts full and refills at `rate`."""
    tokens, previous_time, min_tokens = burst, times[0][0] if times else 0.0, 0.0
    for time, units in times:
        tokens = min(burst, tokens + (time - previous_time) * rate) - units
        previous_time, min_tokens = time, min(min_tokens, tokens)
    return -min_tokens


@pytest.mark.parametrize("first_seed", range(0, 2000, 250))
def test_neither_granted_nor_forwarded_units_exceed_the_ceiling(first_seed):
    """Several gateways share a ceiling. Checks, reservations, plain and prepaid requests come in random order
    to any gateway, and the counter may fail.
    """
    for run_seed in range(first_seed, first_seed + 250):
        rng = random.Random(run_seed)
        gateway_count = rng.choice([1, 1, 2, 3])
        gateway_settings = [
            make_settings(plans=[make_plan(**CEILING_LIMITS)], gateway_count=gateway_count, gateway_index=n)
            for n in range(gateway_count)
        ]
        harnesses = [
            DecisionHarness(one, HOSTS, seed=run_seed * 8 + n) for n, one in enumerate(gateway_settings)
        ]
        totals = {}
        for harness in harnesses:
            harness.counter_totals = totals
            harness.counter_mode = rng.choice(["answer", "answer", "silent", "refuse"])
            harness.now += rng.choice([0.0, 10.0])
        reserved_units, submitted = [], {}
        for _ in range(rng.randrange(20, 70)):
            gap = rng.choice([0.0, 0.0, 0.01, 0.2, 1.0, 2.0])
            now = max(harness.now for harness in harnesses) + gap
            for harness in harnesses:
                harness.now = now
            harness, units = rng.choice(harnesses), rng.choice([1.0, 1.0, 2.0])
            kind = rng.choice(
                [
                    messages.QuotaCheck,
                    messages.QuotaReservation,
                    messages.QuotaReservation,
                    messages.Request,
                    messages.PrepaidRequest,
                ]
            )
            if kind is messages.PrepaidRequest:
                if not reserved_units:
                    continue
                units = reserved_units.pop(rng.randrange(len(reserved_units)))
            harness.request_count += 1
            submitted[harness, f"k{harness.request_count}"] = kind, units
            actions = harness.handle(
                kind(f"k{harness.request_count}", 3.0, "c", "p", "read", units, 0, gateway_count)
            )
            for forward in actions_of(actions, messages.ForwardRequest):
                harness.end_attempt(forward, elapsed=0.001)
            if kind is messages.QuotaReservation:
                for answer in actions_of(actions, messages.QuotaGranted):
                    if rng.random() < 0.1:
                        harness.handle(messages.ReturnReservation("c", units, answer.window_index))
                        submitted[harness, answer.request_id] = None, 0.0
                    else:
                        reserved_units.append(units)
        granted, sent = [], []
        for harness in harnesses:
            for time, action in harness.action_log:
                if isinstance(action, messages.QuotaGranted | messages.ForwardRequest):
                    kind, units = submitted[harness, action.request_id]
                    if kind in (messages.QuotaCheck, messages.QuotaReservation, messages.Request):
                        granted.append((time, units))
                    if kind in (messages.QuotaCheck, messages.Request, messages.PrepaidRequest):
                        sent.append((time, units))
        for times in (granted, sent):
            assert max_excess(sorted(times), 8.0, 4.0) <= 1e-6, run_seed


@pytest.mark.parametrize("gateway_count", [1, 3])
def test_custom_limit_holds_over_all_gateways_and_spends_no_quota_of_the_plan(gateway_count):
    own_limit = make_plan(rate=0.5, burst=4.0)
    harnesses = [
        DecisionHarness(
            make_settings(
                plans=[make_plan(rate=1.0, burst=30.0)], gateway_count=gateway_count, gateway_index=n
            ),
            HOSTS,
            seed=n,
        )
        for n in range(gateway_count)
    ]
    totals = {}
    for harness in harnesses:
        harness.counter_totals = totals
    granted_count = 0
    for n in range(60):
        answer = submit(
            harnesses[n % gateway_count],
            messages.CustomLimitCheck,
            "c/4/8",
            spread=gateway_count,
            limit=own_limit,
        )
        granted_count += isinstance(answer, messages.QuotaGranted)
    assert 3 <= granted_count <= 6  # a new quota begins in the middle of a window
    assert (
        sum(
            isinstance(submit(harnesses[0], messages.QuotaCheck, spread=gateway_count), messages.QuotaGranted)
            for _ in range(10)
        )
        == 10
    )


def test_custom_limit_of_almost_0_grants_nothing_but_0_units():
    harness = make_harness()
    empty_limit = make_plan(rate=1e-9, burst=1e-9)
    assert not any(
        isinstance(
            submit(harness, messages.CustomLimitCheck, "c/0/1", limit=empty_limit), messages.QuotaGranted
        )
        for _ in range(5)
    )
    assert isinstance(
        submit(harness, messages.CustomLimitCheck, "c/0/1", units=0.0, limit=empty_limit),
        messages.QuotaGranted,
    )
    assert isinstance(submit(harness, messages.QuotaCheck), messages.QuotaGranted)


def test_custom_limit_check_requires_a_limit():
    with pytest.raises(ValueError):
        messages.CustomLimitCheck("k", 1.0, "c", "p", "read", 1.0, 0, 1)


@seed(14)
@settings(max_examples=200, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    messages.QuotaCheck,
                    messages.QuotaReservation,
                    messages.Request,
                    messages.PrepaidRequest,
                    "back",
                    "wait",
                ]
            ),
            st.sampled_from([0.0, 0.5, 1.0, 3.0]),
        ),
        max_size=60,
    )
)
def test_ceiling_equals_two_separate_token_buckets(steps):
    """The ceiling stores the difference between granted and forwarded units as one number. It must equal two
    separate buckets.
    """
    harness = make_harness([make_plan(rate=100.0, burst=200.0, ceiling_rate=100.0, ceiling_burst=200.0)])
    harness.now += 10.0
    submit(harness, messages.QuotaCheck, units=0.0)
    quota = harness.gateway.quotas["c"]
    capacity, rate, granted_tokens, forwarded_tokens, refilled_at, reservations = (
        200.0,
        100.0,
        quota.ceiling.tokens,
        quota.ceiling.tokens,
        harness.now,
        [],
    )
    for kind, amount in steps:
        if kind == "wait":
            harness.now += amount
            continue
        refill, refilled_at = (harness.now - refilled_at) * rate, harness.now
        granted_tokens, forwarded_tokens = (
            min(capacity, granted_tokens + refill),
            min(capacity, forwarded_tokens + refill),
        )
        units = amount * 40
        if kind == "back":
            if reservations:
                answer, units = reservations.pop()
                harness.handle(messages.ReturnReservation("c", units, answer.window_index))
                granted_tokens = min(capacity, granted_tokens + units)
            continue
        if units > harness.settings.max_units and kind in (messages.Request, messages.PrepaidRequest):
            units = harness.settings.max_units
        answer = submit(harness, kind, units=units)
        if isinstance(answer, messages.QuotaGranted | messages.ForwardRequest):
            if kind is not messages.PrepaidRequest:
                granted_tokens -= units
            if kind is not messages.QuotaReservation:
                forwarded_tokens -= units
            if kind is messages.QuotaReservation:
                reservations.append((answer, units))
        assert min(granted_tokens, forwarded_tokens) >= -1e-6
        quota.ceiling.available(harness.now)
        tokens = quota.ceiling.tokens
        assert (tokens, tokens + quota.ceiling.reserved) == (
            pytest.approx(granted_tokens),
            pytest.approx(forwarded_tokens),
        )


def test_ceiling_holds_for_gateway_sets_of_different_sizes():
    """A customer's requests name 2 gateways and its checks 3: they do not exceed the ceiling in any order."""
    for spreads in ((2, 3), (3, 2)):
        gateway_settings = [
            make_settings(plans=[make_plan(**CEILING_LIMITS)], gateway_count=3, gateway_index=n)
            for n in range(3)
        ]
        harnesses = [DecisionHarness(one, HOSTS, seed=n) for n, one in enumerate(gateway_settings)]
        for harness in harnesses:
            harness.counter_mode = "refuse"  # each gateway has only its own share
            harness.now += 10.0
        sent = 0
        for n in range(60):
            kind = messages.Request if spreads[n % 2] == 2 else messages.QuotaCheck
            answer = submit(
                harnesses[n % 3 if kind is messages.QuotaCheck else n % 2], kind, spread=spreads[n % 2]
            )
            sent += isinstance(answer, messages.QuotaGranted | messages.ForwardRequest)
        assert 6 <= sent <= 8


def test_request_that_waits_for_the_ceiling_is_forwarded_after_the_refill():
    """With many gateways, an equal share is a few units. Of a burst of requests, those that can wait for the
    refill within a part of the latency objective are not rejected.
    """
    plan = make_plan(rate=0.0, ceiling_rate=64.0, ceiling_burst=32.0, ceiling_slack=3.0)
    harness = DecisionHarness(
        make_settings(plans=[plan], gateway_count=200), [make_host(f"h{n}") for n in range(30)]
    )
    harness.now += 10.0
    # Each gateway's share is 2 units, refilled by 4 per second. A request may wait for 0.3 s.
    start, request_ids = (harness.now, [harness.send_request(spread=16)[0] for _ in range(12)])
    harness.advance(1.0, step=0.005)
    sent = [
        time - start
        for time, action in harness.action_log
        if isinstance(action, messages.ForwardRequest) and action.request_id in request_ids
    ]
    rejected_times = [
        time - start
        for time, action in harness.action_log
        if isinstance(action, messages.Reject) and action.request_id in request_ids
    ]
    assert len(sent) == 3 and sent[:2] == [0.0, 0.0] and 0.24 < sent[2] < 0.3
    assert len(rejected_times) == 9 and max(rejected_times) == 0.0
    assert all(quota.ceiling.waiting_units == 0.0 for quota in harness.gateway.quotas.values())

"""Checks with tokens and the requests that come for them, and checks against limits of their own."""

import random

import pytest
from helpers import GatewayHarness, actions_of, make_host, make_plan, make_settings
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway import messages

HOSTS = [make_host(f"h{n}") for n in range(4)]
CEILED = dict(rate=3.0, burst=6.0, ceiling_rate=4.0, ceiling_burst=8.0, ceiling_slack=0.0)


def world(plans=None, **kw):
    return GatewayHarness(
        make_settings(plans=plans or [make_plan(rate=2.0, burst=8.0)], **{"gateway_count": 1, **kw}), HOSTS
    )


def ask(w, kind, customer="c", units=1.0, spread=1, **kw):
    """What became of it at once: Granted, Denied, Send, Refuse, or None."""
    w.request_count += 1
    acts = w.handle(kind(f"k{w.request_count}", 3.0, customer, "p", "read", units, 0, spread, **kw))
    told = actions_of(
        acts, messages.QuotaGranted | messages.QuotaDenied | messages.ForwardRequest | messages.Reject
    )
    for send in actions_of(acts, messages.ForwardRequest):
        w.end_attempt(send, elapsed=0.001)
    return told[0] if told else None


def test_a_request_that_was_paid_for_takes_none_of_the_quota():
    w = world()
    while isinstance(ask(w, messages.QuotaReservation), messages.QuotaGranted):
        pass
    assert isinstance(ask(w, messages.Request), messages.Reject)
    assert all(isinstance(ask(w, messages.PrepaidRequest), messages.ForwardRequest) for _ in range(20))
    assert isinstance(ask(w, messages.Request), messages.Reject)  # and gives none of it back


def test_under_a_ceiling_it_waits_for_what_is_sent_on_however_much_was_granted_before():
    w = world([make_plan(**CEILED)])
    w.now += 10.0  # both stores are full: 8 units, 4 a second more
    granted = sum(isinstance(ask(w, messages.QuotaReservation), messages.QuotaGranted) for _ in range(6))
    w.now += 2.0  # what is granted may be 8 again; nothing was sent on yet
    granted += sum(isinstance(ask(w, messages.QuotaReservation), messages.QuotaGranted) for _ in range(6))
    assert granted >= 10
    sent = sum(isinstance(ask(w, messages.PrepaidRequest), messages.ForwardRequest) for _ in range(granted))
    assert sent == 8  # all of them at once are held to one burst
    assert isinstance(ask(w, messages.Request), messages.Reject)  # and nobody else may follow them
    w.now += 1.0
    assert [isinstance(ask(w, messages.PrepaidRequest), messages.ForwardRequest) for _ in range(5)] == [
        True
    ] * 4 + [False]


def test_what_is_given_back_of_a_reserve_was_never_charged_to_what_is_sent_on():
    w = world([make_plan(**CEILED)])
    w.now += 10.0
    for _ in range(3):
        told = ask(w, messages.QuotaReservation)
        w.handle(messages.ReturnReservation("c", 1.0, told.window_index))
    acct = w.gateway.quotas["c"]
    assert acct.ceiling.tokens == pytest.approx(8.0) and acct.ceiling.reserved == pytest.approx(0.0)
    told = ask(w, messages.QuotaCheck)
    w.handle(messages.ReturnUnits("c", 1.0, told.window_index))
    assert acct.ceiling.tokens == pytest.approx(8.0) and acct.ceiling.reserved == pytest.approx(0.0)


def test_where_nothing_was_reserved_the_two_stores_are_one():
    w = world([make_plan(**CEILED)])
    for _ in range(40):
        w.now += 0.1
        ask(w, messages.QuotaCheck)
        ask(w, messages.Request)
        assert w.gateway.quotas["c"].ceiling.reserved == 0.0


def over(times, burst, rate):
    """The most by which units at these times pass a store that starts full, and fills at `rate`."""
    store, at, worst = burst, times[0][0] if times else 0.0, 0.0
    for when, units in times:
        store = min(burst, store + (when - at) * rate) - units
        at, worst = when, min(worst, store)
    return -worst


@pytest.mark.parametrize("first", range(0, 2000, 250))
def test_neither_what_is_granted_nor_what_is_sent_on_passes_the_ceiling(first):
    """Thousands of seeds: gateways that share a ceiling, checks with tokens and without, requests with and
    without them, late, early, at another gateway of the same machine; the counter as it will."""
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
            w.counter_totals = totals
            w.counter_mode = rng.choice(["answer", "answer", "silent", "refuse"])
            w.now += rng.choice([0.0, 10.0])
        purses, asked = [], {}
        for _ in range(rng.randrange(20, 70)):
            gap = rng.choice([0.0, 0.0, 0.01, 0.2, 1.0, 2.0])
            now = max(w.now for w in worlds) + gap
            for w in worlds:
                w.now = now
            w, units = rng.choice(worlds), rng.choice([1.0, 1.0, 2.0])
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
                if not purses:
                    continue
                units = purses.pop(rng.randrange(len(purses)))
            w.request_count += 1
            asked[w, f"k{w.request_count}"] = kind, units
            acts = w.handle(kind(f"k{w.request_count}", 3.0, "c", "p", "read", units, 0, count))
            for send in actions_of(acts, messages.ForwardRequest):
                w.end_attempt(send, elapsed=0.001)
            if kind is messages.QuotaReservation:
                for told in actions_of(acts, messages.QuotaGranted):
                    if rng.random() < 0.1:
                        w.handle(messages.ReturnReservation("c", units, told.window_index))
                        asked[w, told.request_id] = None, 0.0
                    else:
                        purses.append(units)
        granted, sent = [], []
        for w in worlds:
            for at, act in w.action_log:
                if isinstance(act, messages.QuotaGranted | messages.ForwardRequest):
                    kind, units = asked[w, act.request_id]
                    if kind in (messages.QuotaCheck, messages.QuotaReservation, messages.Request):
                        granted.append((at, units))
                    if kind in (messages.QuotaCheck, messages.Request, messages.PrepaidRequest):
                        sent.append((at, units))
        for times in (granted, sent):
            assert over(sorted(times), 8.0, 4.0) <= 1e-6, number


@pytest.mark.parametrize("gateways", [1, 3])
def test_a_limit_of_its_own_is_held_over_all_gateways_and_spends_nothing_of_the_plan(gateways):
    own = make_plan(rate=0.5, burst=4.0)
    worlds = [
        GatewayHarness(
            make_settings(plans=[make_plan(rate=1.0, burst=30.0)], gateway_count=gateways, gateway_index=n),
            HOSTS,
            seed=n,
        )
        for n in range(gateways)
    ]
    totals = {}
    for w in worlds:
        w.counter_totals = totals
    passed = 0
    for n in range(60):
        told = ask(worlds[n % gateways], messages.CustomLimitCheck, "c/4/8", spread=gateways, limit=own)
        passed += isinstance(told, messages.QuotaGranted)
    assert 3 <= passed <= 6  # one that is new stands in the middle of a window
    assert (
        sum(
            isinstance(ask(worlds[0], messages.QuotaCheck, spread=gateways), messages.QuotaGranted)
            for _ in range(10)
        )
        == 10
    )


def test_a_limit_into_which_nothing_fits():
    w = world()
    none = make_plan(rate=1e-9, burst=1e-9)
    assert not any(
        isinstance(ask(w, messages.CustomLimitCheck, "c/0/1", limit=none), messages.QuotaGranted)
        for _ in range(5)
    )
    assert isinstance(
        ask(w, messages.CustomLimitCheck, "c/0/1", units=0.0, limit=none), messages.QuotaGranted
    )
    assert isinstance(ask(w, messages.QuotaCheck), messages.QuotaGranted)


def test_a_check_without_its_limit_is_none():
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
def test_both_stores_are_those_of_a_plain_account(steps):
    """The gap between them, kept as one figure, against two stores that are kept apart."""
    w = world([make_plan(rate=100.0, burst=200.0, ceiling_rate=100.0, ceiling_burst=200.0)])
    w.now += 10.0
    ask(w, messages.QuotaCheck, units=0.0)
    acct = w.gateway.quotas["c"]
    full, rate, a, b, at, purse = 200.0, 100.0, acct.ceiling.tokens, acct.ceiling.tokens, w.now, []
    for kind, amount in steps:
        if kind == "wait":
            w.now += amount
            continue
        more, at = (w.now - at) * rate, w.now
        a, b = min(full, a + more), min(full, b + more)
        units = amount * 40
        if kind == "back":
            if purse:
                told, units = purse.pop()
                w.handle(messages.ReturnReservation("c", units, told.window_index))
                a = min(full, a + units)
            continue
        if units > w.settings.max_units and kind in (messages.Request, messages.PrepaidRequest):
            units = w.settings.max_units
        told = ask(w, kind, units=units)
        if isinstance(told, messages.QuotaGranted | messages.ForwardRequest):
            if kind is not messages.PrepaidRequest:
                a -= units
            if kind is not messages.QuotaReservation:
                b -= units
            if kind is messages.QuotaReservation:
                purse.append((told, units))
        assert min(a, b) >= -1e-6
        acct.ceiling.available(w.now)
        tokens = acct.ceiling.tokens
        assert (tokens, tokens + acct.ceiling.reserved) == (pytest.approx(a), pytest.approx(b))


def test_sets_of_different_sizes_share_by_the_larger_one():
    """A customer's requests name two gateways, its checks all three: no order of them passes the ceiling."""
    for first in ((2, 3), (3, 2)):
        conf = [
            make_settings(plans=[make_plan(**CEILED)], gateway_count=3, gateway_index=n) for n in range(3)
        ]
        worlds = [GatewayHarness(one, HOSTS, seed=n) for n, one in enumerate(conf)]
        for w in worlds:
            w.counter_mode = "refuse"  # each is left to its own part
            w.now += 10.0
        sent = 0
        for n in range(60):
            kind = messages.Request if first[n % 2] == 2 else messages.QuotaCheck
            told = ask(worlds[n % 3 if kind is messages.QuotaCheck else n % 2], kind, spread=first[n % 2])
            sent += isinstance(told, messages.QuotaGranted | messages.ForwardRequest)
        assert 6 <= sent <= 8


def test_a_request_that_waits_for_a_ceiling_goes_when_it_has_filled():
    """Among many an even part is a few units: a bunch of requests is no reason to refuse those of them that a
    part of the aim is time for."""
    ceiled = make_plan(rate=0.0, ceiling_rate=64.0, ceiling_burst=32.0, ceiling_slack=3.0)
    w = GatewayHarness(
        make_settings(plans=[ceiled], gateway_count=200), [make_host(f"h{n}") for n in range(30)]
    )
    w.now += 10.0
    begun, names = (
        w.now,
        [w.send_request(spread=16)[0] for _ in range(12)],
    )  # 2 units, 4 a second, a wait of 0.3 s
    w.advance(1.0, step=0.005)
    sent = [
        at - begun
        for at, act in w.action_log
        if isinstance(act, messages.ForwardRequest) and act.request_id in names
    ]
    refused = [
        at - begun for at, act in w.action_log if isinstance(act, messages.Reject) and act.request_id in names
    ]
    assert len(sent) == 3 and sent[:2] == [0.0, 0.0] and 0.24 < sent[2] < 0.3
    assert len(refused) == 9 and max(refused) == 0.0
    assert all(a.ceiling.waiting_units == 0.0 for a in w.gateway.quotas.values())

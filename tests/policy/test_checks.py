"""Quota checks: they spend units as requests do, of the same quota and ceiling, but are not forwarded."""

import random

import pytest
from helpers import READ, DecisionHarness, actions_of, make_host, make_plan, make_settings
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


def send_check(harness, customer="c", units=1.0, remaining=3.0, spread=1):
    """Send a check, and return its answer if it comes at once."""
    harness.request_count += 1
    actions = harness.handle(
        messages.QuotaCheck(f"k{harness.request_count}", remaining, customer, "p", "read", units, 0, spread)
    )
    assert (
        not actions_of(actions, messages.ForwardRequest)
        + actions_of(actions, messages.Reject)
        + actions_of(actions, messages.Fail)
    )
    answers = actions_of(actions, messages.QuotaGranted) + actions_of(actions, messages.QuotaDenied)
    assert len(answers) <= 1 and all(one.request_id == f"k{harness.request_count}" for one in answers)
    return answers[0] if answers else None


def is_granted(harness, customer="c", units=1.0):
    return isinstance(send_check(harness, customer, units), messages.QuotaGranted)


def test_check_spends_units_reports_the_rest_and_is_denied_beyond_the_quota():
    harness = make_harness()
    answers = [send_check(harness) for _ in range(12)]
    granted = [one for one in answers if isinstance(one, messages.QuotaGranted)]
    denied = [one for one in answers if isinstance(one, messages.QuotaDenied)]
    # A new quota begins in the middle of a window.
    assert 8 <= len(granted) <= 10 and answers[: len(granted)] == granted
    assert len(granted) + len(denied) == 12
    assert [one.remaining for one in granted] == sorted((one.remaining for one in granted), reverse=True)
    assert granted[-1].remaining < 1.0 and 0 < granted[0].reset_after <= 4.0
    assert all(one.is_over_quota and one.retry_after > 0 for one in denied)
    assert not harness.gateway.pending and not harness.gateway.pool.attempts_in_flight


def test_checks_and_requests_spend_the_same_quota():
    harness = make_harness()
    taken = 0
    for n in range(20):
        taken += (
            is_granted(harness)
            if n % 2
            else len(actions_of(harness.send_request("c", spread=1)[1], messages.ForwardRequest) or []) > 0
        )
    assert 8 <= taken <= 10


@pytest.mark.parametrize(
    "units, is_within_burst", [(0, True), (6, True), (8.5, False), (1e6, False), (2.0**32 - 1, False)]
)
def test_check_of_any_number_of_units_is_answered(units, is_within_burst):
    harness = make_harness()
    assert is_granted(harness, units=units) is is_within_burst
    assert is_granted(harness, "other")  # other customers are not affected


def test_check_of_0_units_spends_nothing():
    harness = make_harness()
    assert all(is_granted(harness, units=0) for _ in range(100))
    assert 8 <= sum(is_granted(harness) for _ in range(20)) <= 10
    assert send_check(harness, units=0).remaining < 1.0


def test_check_out_of_time_is_denied_but_not_over_quota():
    answer = send_check(make_harness(), remaining=0.01)
    assert isinstance(answer, messages.QuotaDenied) and not answer.is_over_quota


def test_checks_are_answered_in_time_while_the_counter_is_silent_unless_the_client_disconnects():
    harness = make_harness(gateway_count=2)
    harness.counter_mode = "hold"
    first_answers = [send_check(harness, spread=2) for _ in range(8)]
    waiting = [pending.request.request_id for pending in harness.gateway.pending.values()]
    assert None in first_answers and waiting
    harness.handle(messages.ClientDisconnected(waiting[0]))
    actions = harness.advance(1.0)
    answered = [
        action.request_id
        for action in actions_of(actions, messages.QuotaGranted) + actions_of(actions, messages.QuotaDenied)
    ]
    assert sorted(answered) == sorted(waiting[1:]) and not harness.gateway.pending
    # The counter answers after all of them: the granted units become a lease for the next check.
    call = next(action for _, action in harness.action_log if isinstance(action, messages.AddToCounter))
    harness.counter_mode = "answer"
    harness.handle(messages.CounterResult(call.counter_key, "ok", call.amount, 0.3))
    assert harness.gateway.quotas["c"].leased_units > 0 and is_granted(harness)


def test_returned_units_can_be_spent_again_in_the_same_window_only():
    harness = make_harness()
    answers = [
        one for one in (send_check(harness) for _ in range(12)) if isinstance(one, messages.QuotaGranted)
    ]
    assert not is_granted(harness)
    harness.handle(messages.ReturnUnits("c", 3.0, answers[-1].window_index))
    assert sum(is_granted(harness) for _ in range(6)) == 3
    harness.now += 8.0
    assert is_granted(harness)
    lease = harness.gateway.quotas["c"].leased_units
    harness.handle(messages.ReturnUnits("c", 3.0, answers[-1].window_index))
    assert harness.gateway.quotas["c"].leased_units == lease
    harness.handle(messages.ReturnUnits("nobody", 3.0, 1))


def test_returned_units_never_fill_a_ceiling_beyond_its_burst():
    harness = make_harness([make_plan(**CEILING_LIMITS)])
    harness.now += 2.0  # the ceiling starts empty
    answer = send_check(harness)
    for _ in range(5):
        harness.handle(messages.ReturnUnits("c", 4.0, answer.window_index))
    assert harness.gateway.quotas["c"].ceiling.tokens <= 8.0


def test_checks_are_shed_while_hosts_are_overloaded():
    harness = make_harness(gateway_count=8, plans=[make_plan(rate=1000.0, burst=1000.0)])
    harness.gateway.load_shedder.admitted.share = 0.1
    harness.gateway.pool.congestion.value, harness.gateway.pool.congestion.observed_at = 1.0, harness.now
    answers = [send_check(harness, f"c{n}") for n in range(200)]
    shed = [one for one in answers if isinstance(one, messages.QuotaDenied)]
    assert len(shed) > 100 and not any(one.is_over_quota for one in shed)


def test_check_of_a_plan_without_a_rate_reports_no_quota():
    answer = send_check(make_harness([make_plan(rate=0.0, burst=0.0, concurrency_limit=4)]))
    assert (
        isinstance(answer, messages.QuotaGranted)
        and answer.remaining == float("inf")
        and answer.reset_after == 0.0
    )


@pytest.mark.parametrize("first_seed", range(0, 2000, 250))
def test_checks_and_requests_together_never_exceed_the_ceiling(first_seed):
    """Several gateways, one customer, checks and requests in random order, and a counter that may fail."""
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
            harness.counter_totals = totals  # one counter for all
            harness.counter_mode = rng.choice(["answer", "answer", "silent", "refuse"])
        units_by_request = {}
        for _ in range(rng.randrange(20, 60)):
            gap = rng.choice([0.0, 0.0, 0.01, 0.2, 1.0])
            # A call to a silent counter advances the clock of the gateway that made it.
            now = max(harness.now for harness in harnesses) + gap
            for harness in harnesses:
                harness.now = now
            harness, units = rng.choice(harnesses), rng.choice([1.0, 1.0, 2.0])
            if rng.random() < 0.5:
                harness.request_count += 1
                units_by_request[harness, f"k{harness.request_count}"] = units
                harness.handle(
                    messages.QuotaCheck(
                        f"k{harness.request_count}", 3.0, "c", "p", "read", units, 0, gateway_count
                    )
                )
            else:
                request_id, actions = harness.send_request("c", units=units, spread=gateway_count)
                units_by_request[harness, request_id] = units
                for forward in actions_of(actions, messages.ForwardRequest):
                    harness.end_attempt(forward, elapsed=0.001)
        times = [
            (time, units_by_request[harness, action.request_id])
            for harness in harnesses
            for time, action in harness.action_log
            if isinstance(action, messages.QuotaGranted | messages.ForwardRequest)
        ]
        times.sort()
        for i, (start, _) in enumerate(times):
            used = 0.0
            for time, units in times[i:]:
                used += units
                assert used <= 8.0 + 4.0 * (time - start) + 1e-6, run_seed


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
def test_each_check_gets_exactly_one_answer_unless_its_client_disconnects(steps, counter_mode):
    harness = make_harness([make_plan(**CEILING_LIMITS)], gateway_count=2)
    harness.counter_mode = counter_mode
    sent_at, disconnected, window_index = {}, set(), 0
    for step, customer, amount in steps:
        customer_name = f"c{customer}"
        if step == "check":
            harness.request_count += 1
            sent_at[f"k{harness.request_count}"] = harness.now
            harness.handle(
                messages.QuotaCheck(
                    f"k{harness.request_count}", 1.0, customer_name, "p", "read", amount, 0, 2
                )
            )
        elif step == "ask":
            harness.send_request(customer_name, spread=2)
        elif step == "gone" and sent_at:
            disconnected.add(next(reversed(sent_at)))
            harness.handle(messages.ClientDisconnected(next(reversed(sent_at))))
        elif step == "back":
            harness.handle(messages.ReturnUnits(customer_name, amount, window_index))
        elif step == "wait":
            harness.advance(amount / 3)
        answers = [action for _, action in harness.action_log if isinstance(action, messages.QuotaGranted)]
        window_index = answers[-1].window_index if answers else 0
    harness.advance(1.2)
    answered = [
        action.request_id
        for _, action in harness.action_log
        if isinstance(action, messages.QuotaGranted | messages.QuotaDenied)
    ]
    assert len(answered) == len(set(answered)) and set(answered) <= set(sent_at)
    assert set(sent_at) - set(answered) <= disconnected
    assert READ.deadline > 1.0 and not [
        pending for pending in harness.gateway.pending.values() if pending.request.is_check
    ]


# Guards against a lease that nobody granted: a check granted beyond the quota took no units of it.
def test_units_of_a_check_granted_beyond_the_quota_are_not_returned_to_it():
    profitable = make_plan(rate=0.01, burst=4.0, over_quota_weight=2.0, over_quota_cost=1.0)
    harness = make_harness([profitable])
    answers = [send_check(harness) for _ in range(12)]
    beyond = [answer for answer in answers if answer.window_index is None]
    assert len(beyond) >= 4 and all(isinstance(answer, messages.QuotaGranted) for answer in answers)
    quota = harness.gateway.quotas["c"]
    leased_units = quota.leased_units
    for answer in beyond:
        harness.handle(messages.ReturnUnits("c", 1.0, answer.window_index, "p"))
    assert quota.leased_units == leased_units

"""Customers whose requests name different plans: the quota follows, and what was spent stays counted."""

import pytest
from helpers import DecisionHarness, actions_of, make_plan, make_settings

from apigateway import messages

# A customer's first window may be open for up to its length: as much as the burst is refilled by then.
MAX_FIRST_SMALL = 16

FREE = make_plan("free", rate=0.0, burst=0.0, concurrency_limit=100)
SMALL = make_plan("small", rate=2.0, burst=8.0)
LARGE = make_plan("large", rate=10.0, burst=30.0)  # windows of another length


def make_harness(*plans):
    return DecisionHarness(make_settings(plans=list(plans), gateway_count=1))


def count_forwarded(harness, plan, request_count=1, **fields):
    forwarded_count = 0
    for _ in range(request_count):
        _, actions = harness.send_request(plan=plan, spread=1, service_class="write", **fields)
        for forward in actions_of(actions, messages.ForwardRequest):
            forwarded_count += 1
            harness.end_attempt(forward)
    return forwarded_count


# Guards against a division by 0: a customer that came by a plan with a rate after one without was locked out.
def test_requests_of_a_plan_with_a_rate_after_one_without_are_within_that_rate():
    harness = make_harness(FREE, SMALL)
    assert count_forwarded(harness, "free", 20) == 20
    assert 8 <= count_forwarded(harness, "small", 40) <= MAX_FIRST_SMALL
    harness.advance(4.0)
    assert 4 <= count_forwarded(harness, "small", 40) <= 8


def test_a_request_of_a_plan_without_a_rate_does_not_refill_the_quota_of_another_plan():
    harness = make_harness(FREE, SMALL)
    assert 8 <= count_forwarded(harness, "small", 40) <= MAX_FIRST_SMALL
    assert count_forwarded(harness, "free", 20) == 20
    assert count_forwarded(harness, "small", 40) == 0


@pytest.mark.parametrize("counter_mode", ["answer", "silent", "refuse"])
def test_quota_when_the_plan_changes_follows_it_and_keeps_what_was_spent(counter_mode):
    harness = make_harness(SMALL, LARGE)
    harness.counter_mode = counter_mode
    start = harness.now
    in_small = count_forwarded(harness, "small", 40)
    in_large = count_forwarded(harness, "large", 80)
    elapsed = harness.now - start
    assert in_small <= MAX_FIRST_SMALL + 2 * elapsed
    if counter_mode == "answer":
        assert in_small >= 8 and in_large == 30 - 8  # the small burst is spent
    assert in_large <= 30 - min(8, in_small) + 10 * elapsed
    assert count_forwarded(harness, "small", 40) == 0


def test_alternating_plans_do_not_give_more_than_the_larger_of_them():
    harness = make_harness(SMALL, LARGE)
    forwarded_count = 0
    for _ in range(100):
        forwarded_count += count_forwarded(harness, "small") + count_forwarded(harness, "large")
    assert forwarded_count <= 30 + MAX_FIRST_SMALL - 8


def test_a_call_that_began_under_another_plan_leases_nothing_and_its_requests_are_answered():
    harness = make_harness(FREE, SMALL, LARGE)
    harness.counter_mode = "hold"
    waiting_ids = []
    calls = []
    while not waiting_ids:
        request_id, actions = harness.send_request(plan="small", spread=1, service_class="write")
        calls += actions_of(actions, messages.AddToCounter)
        if request_id in harness.gateway.pending and not actions_of(actions, messages.ForwardRequest):
            waiting_ids.append(request_id)
    _, actions = harness.send_request(plan="large", spread=1)
    harness.handle(messages.CounterResult(calls[0].counter_key, "ok", calls[0].amount, 0.002))
    harness.advance(3.0)
    answered = {
        action.request_id
        for _, action in harness.action_log
        if isinstance(action, messages.ForwardRequest | messages.Reject)
    }
    assert set(waiting_ids) <= answered


def test_ceiling_when_the_plan_changes_follows_it_and_keeps_what_was_spent():
    capped = dict(rate=100.0, burst=400.0)
    harness = make_harness(
        make_plan("low", ceiling_rate=4.0, ceiling_burst=8.0, **capped),
        make_plan("high", ceiling_rate=8.0, ceiling_burst=20.0, **capped),
        make_plan("open", **capped),
    )
    harness.advance(10.0, step=1.0)
    assert count_forwarded(harness, "low", 40) == 8
    assert count_forwarded(harness, "high", 40) == 12
    assert count_forwarded(harness, "open", 40) == 40
    assert count_forwarded(harness, "low", 40) == 0
    harness.advance(1.0)
    assert count_forwarded(harness, "high", 40) <= 8


def test_units_of_a_check_by_a_plan_without_limits_are_not_returned_to_another_plan():
    limited = make_plan("small", ceiling_rate=2.0, ceiling_burst=8.0)
    harness = make_harness(make_plan("free", rate=0.0, burst=0.0), limited)
    harness.advance(10.0, step=1.0)
    assert count_forwarded(harness, "small", 40) == 8
    check = messages.QuotaCheck("check", 3.0, "c", "free", "write", 5.0, 0, 1)
    (granted,) = actions_of(harness.handle(check), messages.QuotaGranted)
    harness.handle(messages.ReturnUnits("c", 5.0, granted.window_index, "free"))
    assert count_forwarded(harness, "small", 40) == 0

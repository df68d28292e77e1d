"""When an outer service is asked, and what becomes of a request while it fails."""

import math

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.external_ratelimit.choice import LEAST, Ask, Choice, Terms, Unasked

TERMS = Terms(
    frozenset({"gold"}), frozenset({"note"}), failures=3, rest=1.0, most_rest=4.0, trials=2, steady=10.0
)


def failing(choice, now, count):
    for _ in range(count):
        ask = choice.choose(now, 3.0)
        choice.failed(now, ask)


def test_plans_and_classes_that_are_chosen():
    choice = Choice(TERMS)
    assert choice.wanted("gold", "read") and choice.wanted("tin", "note") and not choice.wanted("tin", "read")


@pytest.mark.parametrize("left, timeout", [(3.0, 0.1), (0.2, 0.05), (0.08, 0.02)])
def test_a_question_has_a_part_of_the_requests_own_time(left, timeout):
    ask = Choice(TERMS).choose(0.0, left)
    assert ask == Ask(pytest.approx(timeout), False)


@pytest.mark.parametrize("mode", ["own", "refuse"])
def test_what_has_no_time_to_ask_goes_by_the_mode(mode):
    told = Choice(Terms(failing=mode)).choose(0.0, LEAST)
    assert told == Unasked(mode == "refuse", pytest.approx(0.1 if mode == "refuse" else 0.0))


def test_a_row_of_failures_rests_it_and_good_trials_bring_it_back():
    choice = Choice(TERMS)
    failing(choice, 0.0, 2)
    choice.answered(0.0, choice.choose(0.0, 3.0))  # not in a row
    failing(choice, 0.0, 2)
    assert choice.state == "well"
    failing(choice, 0.0, 1)
    assert choice.state == "resting" and isinstance(choice.choose(0.5, 3.0), Unasked)
    first = choice.choose(1.0, 3.0)
    assert first == Ask(0.1, True) and isinstance(choice.choose(1.0, 3.0), Unasked)  # one at a time
    choice.answered(1.0, first)
    assert choice.state == "trying"
    second = choice.choose(1.0, 3.0)
    choice.answered(1.0, second)
    assert choice.state == "well" and choice.out == 0


def test_each_trial_that_fails_doubles_the_rest_up_to_a_bound_and_a_calm_time_forgets_it():
    choice, now, rests = Choice(TERMS), 0.0, []
    failing(choice, now, 3)
    for _ in range(5):
        rests.append(choice.until - now)
        now = choice.until
        failing(choice, now, 1)
    assert rests == [1.0, 2.0, 4.0, 4.0, 4.0]
    now = choice.until
    for _ in range(2):
        choice.answered(now, choice.choose(now, 3.0))
    failing(choice, now + 1.0, 3)  # it comes and goes: the long rest stands
    assert choice.until - now - 1.0 == 4.0
    now = choice.until
    for _ in range(2):
        choice.answered(now, choice.choose(now, 3.0))
    choice.answered(now + 11.0, choice.choose(now + 11.0, 3.0))
    failing(choice, now + 12.0, 3)
    assert choice.until == now + 13.0


def test_failures_mixed_with_answers_rest_it_too():
    choice = Choice(Terms(failures=1000))
    for number in range(200):
        ask = choice.choose(0.0, 3.0)
        if choice.state != "well":
            break
        choice.answered(0.0, ask) if number % 4 == 0 else choice.failed(0.0, ask)
    assert choice.state == "resting" and 20 <= number < 60
    calm = Choice(Terms(failures=1000))
    for number in range(200):
        ask = calm.choose(0.0, 3.0)
        calm.failed(0.0, ask) if number % 4 == 0 else calm.answered(0.0, ask)
    assert calm.state == "well"


def test_a_trial_that_is_left_alone_lets_another_be_had():
    choice = Choice(TERMS)
    failing(choice, 0.0, 3)
    choice.left_alone(1.0, choice.choose(1.0, 3.0))
    assert choice.choose(1.0, 3.0) == Ask(0.1, True)


def test_questions_out_at_once_are_bounded():
    choice = Choice(Terms(most_waiting=2))
    asks = [choice.choose(0.0, 3.0) for _ in range(3)]
    assert isinstance(asks[2], Unasked)
    choice.answered(0.0, asks[0])
    assert isinstance(choice.choose(0.0, 3.0), Ask)


def test_while_it_rests_a_refusal_says_until_when():
    choice = Choice(Terms(failing="refuse", failures=1, rest=2.0))
    failing(choice, 0.0, 1)
    assert choice.choose(0.5, 3.0) == Unasked(True, 1.5)


def test_a_reload_keeps_what_is_known_of_it():
    choice = Choice(TERMS)
    failing(choice, 0.0, 3)
    choice.set(Terms(failing="refuse", rest=8.0, most_rest=16.0))
    assert choice.state == "resting" and choice.choose(0.0, 3.0).refuse
    failing(choice, 1.0, 1)
    assert choice.until == 9.0  # by the new rest


@seed(14)
@settings(max_examples=300, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["ask", "good", "bad", "leave", "wait"]), st.floats(0.0, 3.0)), max_size=80
    )
)
def test_whatever_happens_it_asks_within_its_bounds_and_comes_back(steps):
    terms = Terms(failures=3, rest=0.5, most_rest=4.0, trials=2, most_waiting=4)
    choice, now, out, turns = Choice(terms), 0.0, [], 0
    for what, amount in steps:
        before = choice.state
        if what == "wait":
            now += amount
        elif what == "ask":
            told = choice.choose(now, 3.0)
            if isinstance(told, Ask):
                out.append(told)
        elif out:
            ask = out.pop(int(amount * 10) % len(out))
            {"good": choice.answered, "bad": choice.failed, "leave": choice.left_alone}[what](now, ask)
        assert choice.out == len(out) <= 4 + 1  # and a trial beside those from before
        assert sum(ask.trial for ask in out) <= 1 + turns
        if choice.state == "resting":
            assert 0 < choice.until - choice.since <= terms.most_rest
        turns += before != choice.state
    for ask in out:
        choice.left_alone(now, ask)
    for _ in range(10):  # from here on it answers
        now = max(now, choice.until) + 0.1
        told = choice.choose(now, 3.0)
        assert isinstance(told, Ask)
        choice.answered(now, told)
    assert choice.state == "well" and not math.isnan(choice.share)

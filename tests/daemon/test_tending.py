"""When workers are started, killed and given up."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.daemon.tending import Care, Tended

CARE = Care(watchdog=10.0, patience=60.0, rest=0.2, most_rest=1.0, steady=10.0, crashes=5)


def test_an_end_is_followed_by_a_rest_that_doubles_and_a_crash_loop_ends():
    one, now, rests = Tended(CARE, 0.0), 0.0, []
    for _ in range(4):
        one.started(now)
        one.sign(now, ready=True)
        assert one.ended(now + 1) and not one.due(now + 1)
        rests.append(round(one.start_at - now - 1, 6))
        now = one.start_at
        assert one.due(now)
    assert rests == [0.2, 0.4, 0.8, 1.0]
    one.started(now)
    assert not one.ended(now + 1)


def test_one_that_was_steady_begins_anew():
    one = Tended(CARE, 0.0)
    for _ in range(20):
        one.started(0.0)
        one.sign(1.0, ready=True)
        assert one.ended(11.0) and one.start_at == 11.2


def test_one_that_hangs_is_seen_by_its_silence_or_by_never_getting_ready():
    one = Tended(CARE, 0.0)
    assert not one.hung(1000.0)  # it does not run
    one.started(0.0)
    one.sign(5.0)
    assert not one.hung(60.0) and one.hung(60.1)
    one.sign(50.0, ready=True)
    assert not one.hung(60.0) and one.hung(60.1)
    one.sign(55.0)
    assert not one.hung(65.0)


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.tuples(st.floats(0, 30), st.sampled_from(["start", "ready", "sign", "end"])), max_size=60))
def test_never_two_at_once_never_sooner_than_its_rest_and_given_up_only_in_a_row(steps):
    one, now, quick = Tended(CARE, 0.0), 0.0, 0
    for step, what in steps:
        now += step
        if what == "start" and one.due(now):
            assert not one.running and now >= one.start_at
            one.started(now)
        elif what in ("ready", "sign") and one.running:
            one.sign(now, what == "ready")
        elif what == "end" and one.running:
            steady = one.ready and now - one.ready_at >= CARE.steady
            quick = 1 if steady else quick + 1
            again = one.ended(now)
            assert again == (quick < CARE.crashes)
            if not again:
                return
            assert now + CARE.rest <= one.start_at <= now + CARE.most_rest

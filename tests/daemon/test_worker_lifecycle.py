"""When workers are started, killed and given up."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.daemon.worker_lifecycle import RestartPolicy, WorkerLifecycle

CARE = RestartPolicy(
    watchdog_timeout_s=10.0,
    ready_timeout_s=60.0,
    backoff_s=0.2,
    max_backoff_s=1.0,
    stable_after_s=10.0,
    crash_loop_threshold=5,
)


def test_backoff_when_exits_repeat_then_doubles_until_the_crash_loop():
    one, now, rests = WorkerLifecycle(CARE, 0.0), 0.0, []
    for _ in range(4):
        one.on_started(now)
        one.on_heartbeat(now, ready=True)
        assert one.on_exited(now + 1) and not one.is_due(now + 1)
        rests.append(round(one.next_start_at - now - 1, 6))
        now = one.next_start_at
        assert one.is_due(now)
    assert rests == [0.2, 0.4, 0.8, 1.0]
    one.on_started(now)
    assert not one.on_exited(now + 1)


def test_exit_when_the_worker_was_stable_then_the_backoff_starts_again():
    one = WorkerLifecycle(CARE, 0.0)
    for _ in range(20):
        one.on_started(0.0)
        one.on_heartbeat(1.0, ready=True)
        assert one.on_exited(11.0) and one.next_start_at == 11.2


def test_is_hung_when_it_is_silent_or_never_ready_then_true():
    one = WorkerLifecycle(CARE, 0.0)
    assert not one.is_hung(1000.0)  # it does not run
    one.on_started(0.0)
    one.on_heartbeat(5.0)
    assert not one.is_hung(60.0) and one.is_hung(60.1)
    one.on_heartbeat(50.0, ready=True)
    assert not one.is_hung(60.0) and one.is_hung(60.1)
    one.on_heartbeat(55.0)
    assert not one.is_hung(65.0)


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.tuples(st.floats(0, 30), st.sampled_from(["start", "ready", "sign", "end"])), max_size=60))
def test_restarts_after_any_events_then_respect_the_backoff_and_the_crash_loop_threshold(steps):
    one, now, quick = WorkerLifecycle(CARE, 0.0), 0.0, 0
    for step, what in steps:
        now += step
        if what == "start" and one.is_due(now):
            assert not one.is_running and now >= one.next_start_at
            one.on_started(now)
        elif what in ("ready", "sign") and one.is_running:
            one.on_heartbeat(now, what == "ready")
        elif what == "end" and one.is_running:
            steady = one.is_ready and now - one.ready_at >= CARE.stable_after_s
            quick = 1 if steady else quick + 1
            again = one.on_exited(now)
            assert again == (quick < CARE.crash_loop_threshold)
            if not again:
                return
            assert now + CARE.backoff_s <= one.next_start_at <= now + CARE.max_backoff_s

"""Test when workers are started, killed and no longer restarted."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.daemon.worker_lifecycle import RestartPolicy, WorkerLifecycle

POLICY = RestartPolicy(
    watchdog_timeout_s=10.0,
    ready_timeout_s=60.0,
    backoff_s=0.2,
    max_backoff_s=1.0,
    stable_after_s=10.0,
    crash_loop_threshold=5,
)


def test_backoff_when_exits_repeat_then_doubles_until_the_crash_loop():
    lifecycle, now, backoffs = WorkerLifecycle(POLICY, 0.0), 0.0, []
    for _ in range(4):
        lifecycle.on_started(now)
        lifecycle.on_heartbeat(now, ready=True)
        assert lifecycle.on_exited(now + 1) and not lifecycle.is_due(now + 1)
        backoffs.append(round(lifecycle.next_start_at - now - 1, 6))
        now = lifecycle.next_start_at
        assert lifecycle.is_due(now)
    assert backoffs == [0.2, 0.4, 0.8, 1.0]
    lifecycle.on_started(now)
    assert not lifecycle.on_exited(now + 1)


def test_exit_when_the_worker_was_stable_then_the_backoff_starts_again():
    lifecycle = WorkerLifecycle(POLICY, 0.0)
    for _ in range(20):
        lifecycle.on_started(0.0)
        lifecycle.on_heartbeat(1.0, ready=True)
        assert lifecycle.on_exited(11.0) and lifecycle.next_start_at == 11.2


def test_is_hung_when_heartbeats_or_readiness_are_overdue_then_true():
    lifecycle = WorkerLifecycle(POLICY, 0.0)
    assert not lifecycle.is_hung(1000.0)  # it is not running
    lifecycle.on_started(0.0)
    lifecycle.on_heartbeat(5.0)
    assert not lifecycle.is_hung(60.0) and lifecycle.is_hung(60.1)
    lifecycle.on_heartbeat(50.0, ready=True)
    assert not lifecycle.is_hung(60.0) and lifecycle.is_hung(60.1)
    lifecycle.on_heartbeat(55.0)
    assert not lifecycle.is_hung(65.0)


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(st.floats(0, 30), st.sampled_from(["start", "ready", "heartbeat", "exit"])), max_size=60
    )
)
def test_restarts_after_any_events_then_respect_the_backoff_and_the_crash_loop_threshold(steps):
    lifecycle, now, failure_count = WorkerLifecycle(POLICY, 0.0), 0.0, 0
    for elapsed, event in steps:
        now += elapsed
        if event == "start" and lifecycle.is_due(now):
            assert not lifecycle.is_running and now >= lifecycle.next_start_at
            lifecycle.on_started(now)
        elif event in ("ready", "heartbeat") and lifecycle.is_running:
            lifecycle.on_heartbeat(now, event == "ready")
        elif event == "exit" and lifecycle.is_running:
            was_stable = lifecycle.is_ready and now - lifecycle.ready_at >= POLICY.stable_after_s
            failure_count = 1 if was_stable else failure_count + 1
            is_restarted = lifecycle.on_exited(now)
            assert is_restarted == (failure_count < POLICY.crash_loop_threshold)
            if not is_restarted:
                return
            assert now + POLICY.backoff_s <= lifecycle.next_start_at <= now + POLICY.max_backoff_s

"""The limit on idle time that the policy derives from resets."""

import math

from apigateway.upstream.idle_connection_policy import IdleConnectionPolicy


def test_resets_when_independent_of_idle_time_then_set_no_limit():
    policy = IdleConnectionPolicy()
    for number in range(400):
        was_reset = number % 11 == 0
        policy.record(0.0, was_reset)
        policy.record(0.03 * (1 + number % 60), was_reset)
    assert policy.limit == math.inf


def test_limit_when_resets_stop_then_is_removed_after_some_time():
    policy = IdleConnectionPolicy()
    for number in range(60):
        policy.record(0.3, False)
        policy.record(0.9 + number % 5, number % 2 == 0)
    assert 0.3 < policy.limit < 0.9
    policy.decay(300.0)
    assert policy.limit == math.inf  # long idle times are tried again

"""After which idle time connections are closed, by the resets that were seen."""

import math

from apigateway.upstream.idle_connection_policy import IdleConnectionPolicy


def test_resets_when_independent_of_idle_time_then_set_no_limit():
    policy = IdleConnectionPolicy()
    for n in range(400):
        lost = n % 11 == 0
        policy.record(0.0, lost)
        policy.record(0.03 * (1 + n % 60), lost)
    assert policy.limit == math.inf


def test_limit_when_resets_stop_then_is_lifted_in_time():
    policy = IdleConnectionPolicy()
    for n in range(60):
        policy.record(0.3, False)
        policy.record(0.9 + n % 5, n % 2 == 0)
    assert 0.3 < policy.limit < 0.9
    policy.decay(300.0)
    assert policy.limit == math.inf  # tried again in time

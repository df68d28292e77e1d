"""After which idle time connections are closed, by the resets that were seen."""

import math

from apigateway.upstream.idle_connection_policy import IdleConnectionPolicy


def test_resets_that_come_by_chance_close_no_connections():
    policy = IdleConnectionPolicy()
    for n in range(400):
        lost = n % 11 == 0
        policy.record(0.0, lost)
        policy.record(0.03 * (1 + n % 60), lost)
    assert policy.limit == math.inf


def test_a_limit_of_rest_is_tried_again_in_time():
    policy = IdleConnectionPolicy()
    for n in range(60):
        policy.record(0.3, False)
        policy.record(0.9 + n % 5, n % 2 == 0)
    assert 0.3 < policy.limit < 0.9
    policy.decay(300.0)
    assert policy.limit == math.inf  # tried again in time

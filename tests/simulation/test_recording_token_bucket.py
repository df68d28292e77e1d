"""The token bucket that records its past levels."""

import pytest

from apigateway.simulation.token_bucket import RecordingTokenBucket


def test_past_level_is_the_level_at_that_time():
    bucket = RecordingTokenBucket(1.0, 3.0, 0.0)
    for now in (10.0, 10.5, 11.0):
        bucket.refill(now)
        bucket.take()
    assert [bucket.level_at(time) for time in (9.0, 10.0, 10.25, 10.5, 11.0, 11.5, 60.0)] == pytest.approx(
        [3.0, 2.0, 2.25, 1.5, 1.0, 1.5, 3.0]
    )

"""Token buckets that tell what they held a while ago."""

import pytest

from apigateway.simulation.token_bucket import RecordingTokenBucket


def test_level_when_asked_for_the_past_is_what_it_held_then():
    bucket = RecordingTokenBucket(1.0, 3.0, 0.0)
    for at in (10.0, 10.5, 11.0):
        bucket.refill(at)
        bucket.take()
    assert [bucket.level_at(at) for at in (9.0, 10.0, 10.25, 10.5, 11.0, 11.5, 60.0)] == pytest.approx(
        [3.0, 2.0, 2.25, 1.5, 1.0, 1.5, 3.0]
    )

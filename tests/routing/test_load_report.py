"""The number of requests at an endpoint, from its load report."""

import pytest

from apigateway.routing.load_report import requests_held


@pytest.mark.parametrize(
    ("report", "expected"),
    [
        ({"inflight": 7.0, "queue": 3.0, "util": 1.0}, 7.0),
        ({"inflight": 0.0, "queue": 3.0}, 0.0),
        ({"queue": 3.0}, 3.0),
        ({"util": 0.5}, 1.0),
        ({"queue": 3.0, "util": 0.5}, 4.0),
        ({}, 0.0),
    ],
)
def test_requests_held_are_those_in_flight_or_else_queued_plus_processed_ones(report, expected):
    assert requests_held(report, 2.0) == expected

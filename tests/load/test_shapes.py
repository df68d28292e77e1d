"""The rates of each shape over time."""

import msgspec
import pytest
from scenarios import SHAPES

from apigateway.tools.load.shapes import AnyShape


@pytest.mark.parametrize(
    "shape, time, rate",
    [
        (SHAPES[1], 0.0, 1.0),
        (SHAPES[1], 4.0, 5.0),
        (SHAPES[1], 99.0, 9.0),
        (SHAPES[2], 3.0, 7.0),
        (SHAPES[2], 99.0, 0.0),
        (SHAPES[3], 1.9, 0.0),
        (SHAPES[3], 2.2, 50.0),
        (SHAPES[3], 6.2, 50.0),
        (SHAPES[3], 5.9, 0.0),
        (SHAPES[4], 0.5, 8.0),
        (SHAPES[4], 2.5, 0.0),
        (SHAPES[5], 0.75, 7.5),
        (SHAPES[6], 3.0, 10.0),
        (SHAPES[6], 0.0, 2.0),
        (SHAPES[7], 1.5 + 9.0, 20.0 ** (10.5 / 12)),
        (SHAPES[8], 2.9, 2.0),
        (SHAPES[8], 4.0, 30.0),
        (SHAPES[8], 6.0, 16.0),
        (SHAPES[9], 2.2, 57.4),
        (SHAPES[10], 1.25, 10.0),
    ],
)
def test_rate_at_a_time(shape, time, rate):
    assert shape.rate_at(time) == pytest.approx(rate)


@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: type(shape).__name__)
def test_rate_never_exceeds_the_maximum_and_shape_survives_a_round_trip(shape):
    assert all(0 <= shape.rate_at(n / 50) <= shape.max_rate() + 1e-9 for n in range(2000))
    assert msgspec.convert(msgspec.to_builtins(shape), AnyShape) == shape

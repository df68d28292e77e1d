"""Encoding and parsing of the counter's line protocol."""

import pytest

from apigateway.counter import wire


@pytest.mark.parametrize(
    ("amount", "lifetime", "command"),
    [
        (1.0, 4.0, b"incr 8 1 4000\r\n"),
        (-1.0, 60.0, b"incr 8 -1 60000\r\n"),
        (10 / 3, 1.0001, b"incr 8 3.333333 1001\r\n"),  # seven digits; the lifetime is rounded up
        (2.0, 0.0, b"incr 8 2 1\r\n"),  # a lifetime of 0 is raised to 1 ms
    ],
)
def test_encode_add_when_the_lifetime_is_in_seconds_then_encodes_whole_milliseconds(
    amount, lifetime, command
):
    assert wire.encode_add(8, amount, lifetime) == command


@pytest.mark.parametrize(
    ("text", "total"),
    [(b"0", 0.0), (b"-2", -2.0), (b"3.25", 3.25), (b"1.5e+07", 1.5e7), (b"1e-05", 1e-5)],
)
def test_parse_total_when_decimal_then_returns_the_number(text, total):
    assert wire.parse_total(text) == total


@pytest.mark.parametrize("text", [b"", b"nan", b"inf", b"-inf", b"1_0", b"1e400", b"{}", b"1 ", b"9" * 21])
def test_parse_total_when_not_a_finite_decimal_then_returns_none(text):
    assert wire.parse_total(text) is None

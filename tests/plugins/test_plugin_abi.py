"""Tests of the ABI's encoding: a module's input, and the text that it returns."""

import struct

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.plugins import abi
from apigateway.plugins.interfaces import Phase, PluginError, RequestView
from apigateway.plugins.proposals import ProposalLimits, RequestEffects, evaluate

LIMITS = ProposalLimits(frozenset(["batch", "fast"]), max_tags=3, max_tag_bytes=40, max_retry_after=2.0)


def test_input_has_each_field_at_its_documented_offset():
    view = RequestView(
        "r1", "c1", "basic", "read", 2.5, 3.0, 100.25, True, True, {"a": "1"}, "batch", "h1", 4, "failed", 0.5
    )
    raw = abi.encode_input(Phase.ANSWER, view, 4096, 2048)
    assert struct.unpack_from("<II4dIII", raw) == (1, 3, 100.25, 3.0, 2.5, 0.5, 3, 4, 3)
    table = struct.unpack_from("<16I", raw, 56)
    texts = [
        raw[address - 4096 : address - 4096 + length].decode()
        for address, length in zip(table[::2], table[1::2], strict=True)
        if address
    ]
    assert texts == ["r1", "c1", "basic", "read", "h1", "batch", "a=1\n"]


def test_input_omits_tags_that_do_not_fit_and_fails_if_the_rest_does_not_fit():
    raw = abi.encode_input(Phase.REQUEST, RequestView("r1", tags={"a": "x" * 3000}), 0, 2048)
    assert struct.unpack_from("<I", raw, 40)[0] == abi.FLAG_TAGS_CUT and len(raw) < 2048
    with pytest.raises(PluginError):
        abi.encode_input(Phase.REQUEST, RequestView("r" * 3000), 0, 2048)


@pytest.mark.parametrize(
    "packed, is_valid",
    [
        (0, True),
        ((100 << 32) | 28, True),
        ((100 << 32) | 29, False),
        ((0xFFFFFFFF << 32) | 1, False),
        (-1, False),
        ((1 << 32) | 0xFFFFFFFF, False),
        (65, False),
    ],
)
def test_result_pointer_is_checked_against_the_memory(packed, is_valid):
    if is_valid:
        abi.decode_pointer(packed, 128, 64)
    else:
        with pytest.raises(PluginError):
            abi.decode_pointer(packed, 128, 64)


@seed(4)
@settings(max_examples=300, deadline=None, database=None)
@given(st.one_of(st.binary(max_size=200), st.text(max_size=100).map(str.encode)))
def test_arbitrary_output_is_decoded_or_fails_as_invalid_data(raw):
    try:
        proposals = abi.decode_proposals(raw)
    except PluginError as err:
        assert err.reason == "nonsense"
        return
    evaluate(Phase.REQUEST, proposals, RequestEffects(), LIMITS)
    assert len(proposals) <= abi.MAX_OUTPUT_LINES


def test_output_lines_become_proposals():
    assert abi.decode_proposals(b"tag a b c\nrefuse 1.5\n\nroute x\nsend h1 now") == [
        ("tag", "a", "b c"),
        ("refuse", "1.5", ""),
        ("route", "x", ""),
        ("send", "h1 now", ""),
    ]

"""Tests of encoding rate limit requests and decoding responses (rls.proto)."""

import pytest
from envoy.service.ratelimit.v3 import rls_pb2

from apigateway import messages
from apigateway.external_ratelimit.circuit_breaker import CheckSettings
from apigateway.external_ratelimit.rls_codec import (
    CheckDecision,
    CheckFailure,
    count_hits,
    decode_response,
    encode_rate_limit_request,
)
from apigateway.external_ratelimit.service_config import ExternalServiceConfig
from apigateway.upstream.rpc import GrpcStatus

OK = rls_pb2.RateLimitResponse.OK
OVER_LIMIT = rls_pb2.RateLimitResponse.OVER_LIMIT


def make_request(request_id="r1", units=1.0):
    return messages.Request(request_id, 3.0, "c1", "basic", "read", units, 0, 1)


def make_config(batch_size=1):
    entries = (("customer", "{customer}"), ("by", "{gateway}:{plan}:{class}:{units}"))
    return ExternalServiceConfig(("127.0.0.1", 1), CheckSettings(), "roster", entries, batch_size)


def encode_response(code, statuses=(), header=None):
    response = rls_pb2.RateLimitResponse(overall_code=code)
    for status_code, reset_s in statuses:
        status = response.statuses.add(code=status_code)
        if reset_s is not None:
            status.duration_until_reset.FromNanoseconds(int(reset_s * 1e9))
    if header is not None:
        response.response_headers_to_add.add(key="Retry-After-Ms", value=header)
    return response.SerializeToString()


def decode(message, request_count=1):
    return decode_response(GrpcStatus.OK, "", message, request_count)


def test_request_has_filled_in_entries_and_counted_hits():
    decoded = rls_pb2.RateLimitRequest.FromString(
        encode_rate_limit_request(make_config(), "g7", [make_request(units=1.5)])
    )
    (descriptor,) = decoded.descriptors
    assert decoded.domain == "roster" and decoded.hits_addend == 2
    assert [(entry.key, entry.value) for entry in descriptor.entries] == [
        ("customer", "c1"),
        ("by", "g7:basic:read:1.5"),
    ]
    assert not descriptor.HasField("hits_addend")


def test_batched_request_has_hits_for_each_descriptor():
    encoded = encode_rate_limit_request(
        make_config(batch_size=2), "g7", [make_request("r1", 0.2), make_request("r2", 3.0)]
    )
    decoded = rls_pb2.RateLimitRequest.FromString(encoded)
    assert [descriptor.hits_addend.value for descriptor in decoded.descriptors] == [1, 3]
    assert decoded.hits_addend == 0


@pytest.mark.parametrize(("units", "hits"), [(0.0, 1), (0.5, 1), (1.0, 1), (1.1, 2)])
def test_hits_are_units_rounded_up(units, hits):
    assert count_hits(make_request(units=units)) == hits


def test_ok_response_allows_all_requests_whatever_its_statuses_say():
    assert decode(encode_response(OK, [(OVER_LIMIT, None)] * 2), 2) == CheckDecision([True, True], 0.0)


@pytest.mark.parametrize(
    ("statuses", "allowed"),
    [
        ([(OK, None), (OVER_LIMIT, None)], [True, False]),
        ([(OK, None), (OK, None)], [False, False]),  # OVER_LIMIT without a status that says which
        ([(OK, None)], [False, False]),
        ([], [False, False]),
    ],
)
def test_over_limit_response_to_a_batch_allows_requests_with_status_ok(statuses, allowed):
    assert decode(encode_response(OVER_LIMIT, statuses), 2) == CheckDecision(allowed, 0.0)


@pytest.mark.parametrize(
    ("statuses", "header", "retry_after"),
    [
        ([(OVER_LIMIT, 1.5), (OVER_LIMIT, 2.5), (OK, 9.0)], None, 2.5),
        ([(OVER_LIMIT, 1.5)], "700", 0.7),
        ([(OVER_LIMIT, 1.5)], "soon", 1.5),
        ([], None, 0.0),
    ],
)
def test_retry_after_is_the_header_or_the_longest_reset(statuses, header, retry_after):
    decision = decode(encode_response(OVER_LIMIT, statuses, header))
    assert decision == CheckDecision([False], pytest.approx(retry_after))


@pytest.mark.parametrize(
    ("result", "failure"),
    [
        (decode_response(GrpcStatus.UNAVAILABLE, "gone", b"", 1), CheckFailure("UNAVAILABLE", "gone")),
        (decode_response(99, "odd", b"", 1), CheckFailure("99", "odd")),
        (decode(b"\xff"), CheckFailure("unread", "malformed response")),
        (
            decode(encode_response(rls_pb2.RateLimitResponse.UNKNOWN)),
            CheckFailure("no code", "response without a code"),
        ),
    ],
)
def test_missing_or_unusable_response_is_a_failure(result, failure):
    assert result == failure

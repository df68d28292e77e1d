"""The text that `api-gateway ratelimit ask` prints."""

from envoy.service.ratelimit.v3 import rls_pb2 as pb

from apigateway.cli.ratelimit_ask import _format_text


# Guards against a service that is newer than this client and answers with a time unit that it does not know.
def test_unknown_time_unit_is_printed_by_its_number():
    response = pb.RateLimitResponse(overall_code=pb.RateLimitResponse.OK)
    status = response.statuses.add(code=pb.RateLimitResponse.OK, limit_remaining=2)
    status.current_limit.requests_per_unit = 5
    status.current_limit.unit = 99
    assert "5 a unit 99" in _format_text([[("customer", "c")]], response)

"""Codec for Envoy's rate limit service (envoy.service.ratelimit.v3, rls.proto)."""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from envoy.service.ratelimit.v3 import rls_pb2

from apigateway import messages
from apigateway.external_ratelimit.service_config import ExternalServiceConfig
from apigateway.upstream.rpc import GrpcStatus, status_name

_CODE_OK = rls_pb2.RateLimitResponse.OK
_CODE_OVER_LIMIT = rls_pb2.RateLimitResponse.OVER_LIMIT
_PLACEHOLDER = re.compile(r"\{([^{}]*)\}")
_RETRY_AFTER_HEADER = "retry-after-ms"  # sent by this project's own rate limit service
_NANOSECONDS_PER_SECOND = 1e9
_MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class CheckDecision:
    """A response of the service: whether each request of the batch is allowed, in order.

    `retry_after`: seconds after which rejected requests may be retried; 0 if the service does not say.
    """

    allowed: list[bool]
    retry_after: float


@dataclass(frozen=True, slots=True)
class CheckFailure:
    """A missing or unusable response. `reason` is part of the name of its count; `detail` is logged."""

    reason: str
    detail: str


def encode_rate_limit_request(
    config: ExternalServiceConfig, gateway_name: str, requests: Sequence[messages.Request]
) -> bytes:
    """Encode a rate limit request with one descriptor for each of `requests`."""
    rate_limit_request = rls_pb2.RateLimitRequest(domain=config.domain)
    for request in requests:
        _add_descriptor(rate_limit_request, config, gateway_name, request)
    if len(requests) == 1:
        rate_limit_request.hits_addend = count_hits(requests[0])
    return bytes(rate_limit_request.SerializeToString())


def _add_descriptor(
    rate_limit_request: Any, config: ExternalServiceConfig, gateway_name: str, request: messages.Request
) -> None:
    values = {
        "customer": request.customer,
        "plan": request.plan,
        "class": request.service_class,
        "units": f"{request.units:g}",
        "gateway": gateway_name,
    }
    descriptor = rate_limit_request.descriptors.add()
    for key, template in config.descriptor_entries:
        value = _PLACEHOLDER.sub(lambda match: values[match[1]], template)
        descriptor.entries.add(key=key, value=value)
    if config.batch_size > 1:
        descriptor.hits_addend.value = count_hits(request)


def count_hits(request: messages.Request) -> int:
    """Return the units of a request as whole hits, rounded up; at least 1."""
    return max(1, math.ceil(request.units))


def decode_response(
    status: int, status_text: str, message: bytes, request_count: int
) -> CheckDecision | CheckFailure:
    """Decode the result of a call that checked `request_count` requests."""
    if status != GrpcStatus.OK:
        return CheckFailure(status_name(status), status_text)
    try:
        response = rls_pb2.RateLimitResponse.FromString(message)
    except Exception:  # malformed bytes raise not only protobuf's DecodeError
        return CheckFailure("unread", "malformed response")
    if response.overall_code == _CODE_OK:  # allows all requests, whatever the statuses say
        return CheckDecision([True] * request_count, 0.0)
    if response.overall_code != _CODE_OVER_LIMIT:
        return CheckFailure("no code", "response without a code")
    return CheckDecision(_read_allowed(response, request_count), _read_retry_after(response))


def _read_allowed(response: Any, request_count: int) -> list[bool]:
    """Return for each request whether an OVER_LIMIT response allows it.

    All are rejected, unless there are several requests and the response has a status for each of them.
    """
    if request_count > 1 and len(response.statuses) == request_count:
        allowed = [status.code == _CODE_OK for status in response.statuses]
        if not all(allowed):
            return allowed
    return [False] * request_count


def _read_retry_after(response: Any) -> float:
    """Return the seconds given by the header, else the longest time until an exceeded limit resets."""
    for header in response.response_headers_to_add:
        if header.key.lower() == _RETRY_AFTER_HEADER and header.value.isdigit():
            return int(header.value) / _MILLISECONDS_PER_SECOND
    resets = [
        status.duration_until_reset
        for status in response.statuses
        if status.code == _CODE_OVER_LIMIT and status.HasField("duration_until_reset")
    ]
    return max((reset.seconds + reset.nanos / _NANOSECONDS_PER_SECOND for reset in resets), default=0.0)

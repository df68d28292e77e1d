"""Questions and answers of Envoy's rate limit service (envoy.service.ratelimit.v3, rls.proto). Pure."""

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
_RETRY_AFTER_HEADER = "retry-after-ms"  # as this project's own service gives it
_NANOSECONDS = 1e9  # in a second
_MILLISECONDS = 1000  # in a second


@dataclass(frozen=True, slots=True)
class CheckDecision:
    """The service's answer: whether each request of the question is allowed, in their order.

    `retry_after`: seconds after which those that are not may be retried; 0 where the service does not say.
    """

    allowed: list[bool]
    retry_after: float


@dataclass(frozen=True, slots=True)
class CheckFailure:
    """There is no answer, or none that can be used: `reason` is counted, `detail` is logged."""

    reason: str
    detail: str


def encode_question(
    config: ExternalServiceConfig, gateway_name: str, requests: Sequence[messages.Request]
) -> bytes:
    """Encode one question about all `requests`, a descriptor for each."""
    question = rls_pb2.RateLimitRequest(domain=config.domain)
    for request in requests:
        _add_descriptor(question, config, gateway_name, request)
    if len(requests) == 1:
        question.hits_addend = count_hits(requests[0])
    return bytes(question.SerializeToString())


def _add_descriptor(
    question: Any, config: ExternalServiceConfig, gateway_name: str, request: messages.Request
) -> None:
    values = {
        "customer": request.customer,
        "plan": request.plan,
        "class": request.service_class,
        "units": f"{request.units:g}",
        "gateway": gateway_name,
    }
    descriptor = question.descriptors.add()
    for key, template in config.descriptor_entries:
        value = _PLACEHOLDER.sub(lambda found: values[found[1]], template)
        descriptor.entries.add(key=key, value=value)
    if config.batch_size > 1:
        descriptor.hits_addend.value = count_hits(request)


def count_hits(request: messages.Request) -> int:
    """Return the whole hits of a request's units, rounded up."""
    return max(1, math.ceil(request.units))


def read_outcome(
    status: int, status_text: str, message: bytes, request_count: int
) -> CheckDecision | CheckFailure:
    """Read how a call ended that asked about `request_count` requests."""
    if status != GrpcStatus.OK:
        return CheckFailure(status_name(status), status_text)
    try:
        response = rls_pb2.RateLimitResponse.FromString(message)
    except Exception:  # protobuf's DecodeError, and what malformed bytes make of it
        return CheckFailure("unread", "an answer that cannot be read")
    if response.overall_code == _CODE_OK:  # all of it passes, whatever the statuses say
        return CheckDecision([True] * request_count, 0.0)
    if response.overall_code != _CODE_OVER_LIMIT:
        return CheckFailure("no code", "an answer without a code")
    return CheckDecision(_read_allowed(response, request_count), _read_retry_after(response))


def _read_allowed(response: Any, request_count: int) -> list[bool]:
    """Return which requests an answer over the limit allows: none, unless it says so one by one."""
    if request_count > 1 and len(response.statuses) == request_count:
        allowed = [status.code == _CODE_OK for status in response.statuses]
        if not all(allowed):
            return allowed
    return [False] * request_count


def _read_retry_after(response: Any) -> float:
    """Return the seconds of the header, else the longest until a limit that is exceeded resets."""
    for header in response.response_headers_to_add:
        if header.key.lower() == _RETRY_AFTER_HEADER and header.value.isdigit():
            return int(header.value) / _MILLISECONDS
    resets = [
        status.duration_until_reset
        for status in response.statuses
        if status.code == _CODE_OVER_LIMIT and status.HasField("duration_until_reset")
    ]
    return max((reset.seconds + reset.nanos / _NANOSECONDS for reset in resets), default=0.0)

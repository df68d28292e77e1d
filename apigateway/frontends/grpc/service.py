"""The ShouldRateLimit method: turns descriptors into quota checks (envoy/service/ratelimit/v3/rls.proto).

Independent of the transport. If the settings allow it, a descriptor with a limit of its own results in two
checks: one of that limit and one of the customer's plan.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Literal

from envoy.service.ratelimit.v3 import rls_pb2 as pb

from apigateway import messages
from apigateway.core.request_lifecycle import RESPONSE_MARGIN_S, RequestDispatcher
from apigateway.frontends.grpc.descriptor_check import OK, OVER_LIMIT, Code, DescriptorCheck
from apigateway.frontends.grpc.limits import custom_limit_plan, descriptor_unit_seconds
from apigateway.frontends.grpc.mapping import DescriptorMapping, QuotaOwner
from apigateway.frontends.grpc.methods import UnaryResponder
from apigateway.frontends.grpc.rate_limit_call import CallCount, RateLimitCall
from apigateway.frontends.grpc.tokens import QuotaTokens
from apigateway.upstream.rpc import GrpcStatus, RpcError

SERVICE_NAME = "envoy.service.ratelimit.v3.RateLimitService"
SHOULD_RATE_LIMIT_PATH = f"/{SERVICE_NAME}/ShouldRateLimit"


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings of the rate limit service.

    Attributes:
        mapping: Maps descriptors to the customers whose quotas they use.
        max_timeout: The maximum timeout of a call in seconds, also used for calls without a timeout.
        unmapped: The code for a descriptor without an owner; "error" fails the whole call.
        override: How a limit in a descriptor is handled: it is ignored, enforced in addition to the plan
            ("tighten"), or the call is refused.
        max_descriptors: The maximum number of descriptors per call.
        tokens: Issues tokens for granted checks; None if tokens are off.
    """

    mapping: DescriptorMapping
    max_timeout: float = 1.0
    unmapped: Literal["ok", "over", "error"] = "ok"
    override: Literal["ignore", "tighten", "refuse"] = "ignore"
    max_descriptors: int = 100
    tokens: QuotaTokens | None = None


class RateLimitService:
    """Implements the rate limit service. Its `settings` may be replaced at any time."""

    def __init__(self, core: RequestDispatcher, frontend: object, settings: ServiceSettings) -> None:
        self.core = core
        self.frontend = frontend
        self.settings = settings
        self.counts: Counter[str] = Counter()  # by CallCount
        self._ids = _numbered_ids(f"check-{time.monotonic_ns():x}-")

    # Properties of rate_limit_call.CallContext

    @property
    def unmapped_code(self) -> Code:
        """The code of a descriptor without an owner."""
        return OVER_LIMIT if self.settings.unmapped == "over" else OK

    @property
    def tokens(self) -> QuotaTokens | None:
        """Issues tokens for granted checks; None if tokens are off."""
        return self.settings.tokens

    # The gRPC method

    def should_rate_limit(
        self, message: bytes, timeout: float | None, responder: UnaryResponder
    ) -> RateLimitCall | None:
        """Start a call (a `methods.UnaryMethod`); return None if it was answered at once."""
        try:
            call = self._create_call(message, timeout, responder)
        except RpcError as error:
            self.counts[CallCount.INVALID] += 1
            responder.fail(error.status, str(error))
            return None
        call.start()
        return None if call.is_finished else call

    def _create_call(self, message: bytes, timeout: float | None, responder: UnaryResponder) -> RateLimitCall:
        """Create a call with its checks, without starting it. Raises RpcError."""
        settings = self.settings
        request = self._read_request(message)
        call = RateLimitCall(self, responder)
        max_timeout = settings.max_timeout
        remaining = (max_timeout if timeout is None else min(timeout, max_timeout)) - RESPONSE_MARGIN_S
        for descriptor in request.descriptors:
            entries = [(entry.key, entry.value) for entry in descriptor.entries]
            owner = settings.mapping.find_owner(request.domain, entries)
            if owner is not None:
                call.checks.append(self._create_checks(call, owner, remaining, request, descriptor))
                continue
            self.counts[CallCount.UNMAPPED] += 1
            if settings.unmapped == "error":
                raise RpcError(GrpcStatus.INVALID_ARGUMENT, "a descriptor that no rule says whose it is")
            call.checks.append(())
        return call

    def _read_request(self, message: bytes) -> pb.RateLimitRequest:
        """Parse and validate a request message. Raises RpcError."""
        try:
            request = pb.RateLimitRequest.FromString(message)
        except Exception as error:  # malformed bytes raise not only protobuf's DecodeError
            raise RpcError(GrpcStatus.INTERNAL, "the message cannot be read") from error
        count = len(request.descriptors)
        max_descriptors = self.settings.max_descriptors
        if count > max_descriptors:
            raise RpcError(GrpcStatus.RESOURCE_EXHAUSTED, f"{count} descriptors: {max_descriptors} at most")
        if not request.domain or not count:
            raise RpcError(GrpcStatus.INVALID_ARGUMENT, "a domain and a descriptor are needed")
        return request

    def _create_checks(
        self,
        call: RateLimitCall,
        owner: QuotaOwner,
        remaining: float,
        request: pb.RateLimitRequest,
        descriptor: Any,
    ) -> tuple[DescriptorCheck, ...]:
        """Return the checks of a descriptor, the check of its own limit first. Raises RpcError."""
        self._check_gateway(owner)
        # A request without hits counts as 1. A descriptor may set 0 hits, which spends nothing.
        has_own_hits = descriptor.HasField("hits_addend")
        hits = descriptor.hits_addend.value if has_own_hits else request.hits_addend or 1
        plan_check = self._create_plan_check(call, owner, remaining, hits)
        if not descriptor.HasField("limit") or self.settings.override == "ignore":
            return (plan_check,)
        seconds = descriptor_unit_seconds(descriptor.limit.unit)
        if seconds is None:
            raise RpcError(
                GrpcStatus.INVALID_ARGUMENT, "a descriptor's own limit: SECOND, MINUTE, HOUR or DAY only"
            )
        if self.settings.override == "refuse":
            raise RpcError(GrpcStatus.INVALID_ARGUMENT, "limits of a descriptor's own are not taken here")
        max_hits = descriptor.limit.requests_per_unit
        return (self._create_limit_check(call, owner, remaining, hits, max_hits, seconds), plan_check)

    def _check_gateway(self, owner: QuotaOwner) -> None:
        """Check that this gateway has a share of a customer's quota and ceiling. Raises RpcError."""
        settings = self.core.settings
        distance = (settings.gateway_index - owner.first_gateway) % settings.gateway_count
        if distance >= owner.gateway_spread:
            raise RpcError(
                GrpcStatus.FAILED_PRECONDITION,
                f"this gateway, {settings.gateway_index}, is none of the "
                f"{owner.gateway_spread} from {owner.first_gateway} of that customer",
            )

    def _create_plan_check(
        self, call: RateLimitCall, owner: QuotaOwner, remaining: float, hits: int
    ) -> DescriptorCheck:
        """Create the check of the customer's plan."""
        is_reservation = owner.issues_token and self.settings.tokens is not None
        check_type = messages.QuotaReservation if is_reservation else messages.QuotaCheck
        check = check_type(
            next(self._ids),
            remaining,
            owner.customer,
            owner.plan,
            owner.service_class,
            hits * owner.units_per_hit,
            owner.first_gateway,
            owner.gateway_spread,
        )
        return DescriptorCheck(call, check, self.core.settings.plans[owner.plan], owner.units_per_hit)

    def _create_limit_check(
        self, call: RateLimitCall, owner: QuotaOwner, remaining: float, hits: int, max_hits: int, seconds: int
    ) -> DescriptorCheck:
        """Create the check of a limit in the descriptor: a separate quota, also held by leases.

        It counts hits, without weighting them by `units_per_hit`.
        """
        plan = custom_limit_plan(self.core.settings.plans[owner.plan], max_hits, seconds)
        check = messages.CustomLimitCheck(
            next(self._ids),
            remaining,
            f"{owner.customer}/{max_hits}/{seconds}",
            owner.plan,
            owner.service_class,
            float(hits),
            owner.first_gateway,
            owner.gateway_spread,
            limit=plan,
        )
        return DescriptorCheck(call, check, plan, 1.0)


def _numbered_ids(prefix: str) -> Iterator[str]:
    number = 0
    while True:
        number += 1
        yield f"{prefix}{number}"

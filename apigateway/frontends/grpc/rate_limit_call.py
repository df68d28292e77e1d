"""One call of ShouldRateLimit: the checks of its descriptors, and their results as one response.

Any descriptor over its limit makes the response OVER_LIMIT; then what the others were granted is given back,
since the caller will not go on.
"""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Iterator
from typing import Any, Protocol

from envoy.service.ratelimit.v3 import rls_pb2 as pb

from apigateway import messages
from apigateway.core.request_lifecycle import DuplicateRequestError, RequestDispatcher
from apigateway.frontends.grpc.descriptor_check import (
    OK,
    OVER_LIMIT,
    UNKNOWN,
    Code,
    DescriptorCheck,
    descriptor_code,
)
from apigateway.frontends.grpc.limits import MAX_HITS, limit_message
from apigateway.frontends.grpc.methods import UnaryResponder
from apigateway.frontends.grpc.tokens import QuotaTokens
from apigateway.upstream.rpc import GrpcStatus

# In the response's dynamic metadata: a token for each descriptor, empty where there is none.
TOKENS_METADATA_KEY = "tokens"
TOKEN_HEADER = "x-calicomast-token"
RETRY_AFTER_HEADER = "retry-after-ms"


class CallCount(enum.StrEnum):
    """What is counted of calls; the values are what operators are shown."""

    ALLOWED = "ok"
    OVER_LIMIT = "over"
    UNDECIDED = "undecided"
    CANCELLED = "called off"
    UNMAPPED = "nobody's"  # descriptors without an owner, not calls
    INVALID = "not taken"


class CallContext(Protocol):
    """What a call needs of its service."""

    core: RequestDispatcher
    frontend: object
    counts: Counter[str]

    @property
    def unmapped_code(self) -> Code:
        """The code of a descriptor without an owner."""

    @property
    def tokens(self) -> QuotaTokens | None:
        """What gives tokens for what was granted."""


class RateLimitCall:
    """A call that is answered by `responder`, once, unless it is cancelled before.

    Attributes:
        checks: Of each descriptor, that of its plan last; empty for one without an owner.
    """

    def __init__(self, context: CallContext, responder: UnaryResponder) -> None:
        self._context = context
        self._responder = responder
        self.checks: list[tuple[DescriptorCheck, ...]] = []
        self._pending_count = 0  # checks without a result, and one while they are submitted
        self.is_finished = False

    def start(self) -> None:
        """Submit the checks."""
        self._pending_count = 1 + sum(map(len, self.checks))
        for check in self._all_checks():
            try:
                self._context.core.submit_check(self._context.frontend, check.check, check)
            except DuplicateRequestError:
                check.fail()
        self.on_check_decided()

    def on_check_decided(self) -> None:
        """Answer if that was the last."""
        self._pending_count -= 1
        if not self._pending_count and not self.is_finished:
            self.is_finished = True
            self._respond()

    def on_cancelled(self) -> None:
        """Cancel the checks without a result, and give back what was granted meanwhile: the caller left."""
        if self.is_finished:
            return
        self.is_finished = True
        self._context.counts[CallCount.CANCELLED] += 1
        for check in self._all_checks():
            if check.result is None and check.token is not None:
                self._context.core.on_client_disconnected(check)
        self._return_granted()

    def _all_checks(self) -> Iterator[DescriptorCheck]:
        for checks in self.checks:
            yield from checks

    def _return_granted(self) -> None:
        for check in self._all_checks():
            if isinstance(check.result, messages.QuotaGranted):
                self._context.core.return_quota(check.check, check.result)

    def _respond(self) -> None:
        context = self._context
        unmapped_code = context.unmapped_code
        codes = [descriptor_code(checks) if checks else unmapped_code for checks in self.checks]
        if OVER_LIMIT in codes:
            overall_code = OVER_LIMIT
            self._return_granted()
            context.counts[CallCount.OVER_LIMIT] += 1
        elif UNKNOWN in codes:  # shed, out of time, no capacity: nobody can say
            self._return_granted()
            context.counts[CallCount.UNDECIDED] += 1
            self._responder.fail(GrpcStatus.UNAVAILABLE, "not decided: too much at once, or no time left")
            return
        else:
            overall_code = OK
            context.counts[CallCount.ALLOWED] += 1
        response = pb.RateLimitResponse(overall_code=overall_code)
        for code, checks in zip(codes, self.checks, strict=True):
            status = response.statuses.add(code=code)
            if checks:
                _describe(status, checks)
        if overall_code == OVER_LIMIT:
            self._add_retry_after(response)
        elif context.tokens is not None:
            self._add_tokens(response, context.tokens)
        self._responder.respond(response.SerializeToString())

    def _add_retry_after(self, response: pb.RateLimitResponse) -> None:
        """Tell when all descriptors may have units again."""
        waits = [
            check.result.retry_after
            for check in self._all_checks()
            if isinstance(check.result, messages.QuotaDenied) and check.result.is_over_quota
        ]
        if waits and max(waits) > 0:
            milliseconds = math.ceil(max(waits) * 1000)
            response.response_headers_to_add.add(key=RETRY_AFTER_HEADER, value=str(milliseconds))

    def _add_tokens(self, response: pb.RateLimitResponse, tokens: QuotaTokens) -> None:
        """Give a token for each descriptor whose rule wants one."""
        issued = []
        for checks in self.checks:
            check = checks[-1].check if checks else None
            if isinstance(check, messages.QuotaReservation) and check.units > 0:
                issued.append(tokens.issue(check))
                response.response_headers_to_add.add(key=TOKEN_HEADER, value=issued[-1])
            else:
                issued.append("")
        if any(issued):
            response.dynamic_metadata[TOKENS_METADATA_KEY] = issued


def _describe(status: Any, checks: tuple[DescriptorCheck, ...]) -> None:
    """Write the limit that leaves least, of those that a descriptor was checked by, into its status."""
    tightest: DescriptorCheck | None = None
    least_hits = math.inf
    for check in checks:
        if check.plan.rate and isinstance(check.result, messages.QuotaGranted | messages.QuotaDenied):
            remaining_hits = check.result.remaining / check.units_per_hit
            if tightest is None or remaining_hits < least_hits:
                tightest = check
                least_hits = remaining_hits
    if tightest is None:
        return
    assert isinstance(tightest.result, messages.QuotaGranted | messages.QuotaDenied)
    reset_after = tightest.result.reset_after
    whole_seconds = max(0, math.floor(reset_after))
    status.current_limit.CopyFrom(limit_message(tightest.plan))
    status.limit_remaining = min(MAX_HITS, math.floor(least_hits))
    status.duration_until_reset.seconds = whole_seconds
    status.duration_until_reset.nanos = max(0, int((reset_after - whole_seconds) * 1e9))

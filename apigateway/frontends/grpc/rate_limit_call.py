"""One ShouldRateLimit call: runs the checks of its descriptors and combines their results in one response.

If any descriptor is over its limit, the response is OVER_LIMIT and the units granted to the others are
returned, because the caller will not proceed.
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

# Key in the dynamic metadata of a response: one token per descriptor, empty if it has none.
TOKENS_METADATA_KEY = "tokens"
TOKEN_HEADER = "x-calicomast-token"
RETRY_AFTER_HEADER = "retry-after-ms"


class CallCount(enum.StrEnum):
    """Names of call counts. The values are shown to operators."""

    ALLOWED = "ok"
    OVER_LIMIT = "over"
    UNDECIDED = "undecided"
    CANCELLED = "called off"
    UNMAPPED = "nobody's"  # counts descriptors without an owner, not calls
    INVALID = "not taken"


class CallContext(Protocol):
    """What a call needs from its service."""

    core: RequestDispatcher
    frontend: object
    counts: Counter[str]

    @property
    def unmapped_code(self) -> Code:
        """The code of a descriptor without an owner."""

    @property
    def tokens(self) -> QuotaTokens | None:
        """Issues tokens for granted checks; None if tokens are off."""


class RateLimitCall:
    """A call that responds once through `responder`, unless it is cancelled before.

    Attributes:
        checks: The checks of each descriptor, the check of its plan last; empty without an owner.
    """

    def __init__(self, context: CallContext, responder: UnaryResponder) -> None:
        self._context = context
        self._responder = responder
        self.checks: list[tuple[DescriptorCheck, ...]] = []
        self._pending_count = 0  # checks without a result, plus one while checks are being submitted
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
        """Respond once the last check has its result."""
        self._pending_count -= 1
        if not self._pending_count and not self.is_finished:
            self.is_finished = True
            self._respond()

    def on_cancelled(self) -> None:
        """Cancel the pending checks and return the granted units: the caller has left."""
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
        elif UNKNOWN in codes:  # a check was shed, timed out or found no capacity
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
                _fill_status(status, checks)
        if overall_code == OVER_LIMIT:
            self._add_retry_after(response)
        elif context.tokens is not None:
            self._add_tokens(response, context.tokens)
        self._responder.respond(response.SerializeToString())

    def _add_retry_after(self, response: pb.RateLimitResponse) -> None:
        """Add the time after which all descriptors may have units again."""
        retry_delays = [
            check.result.retry_after
            for check in self._all_checks()
            if isinstance(check.result, messages.QuotaDenied) and check.result.is_over_quota
        ]
        if retry_delays and max(retry_delays) > 0:
            milliseconds = math.ceil(max(retry_delays) * 1000)
            response.response_headers_to_add.add(key=RETRY_AFTER_HEADER, value=str(milliseconds))

    def _add_tokens(self, response: pb.RateLimitResponse, tokens: QuotaTokens) -> None:
        """Add a token for each descriptor whose rule issues one."""
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


def _fill_status(status: Any, checks: tuple[DescriptorCheck, ...]) -> None:
    """Fill in the status of a descriptor from the check with the fewest remaining hits."""
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

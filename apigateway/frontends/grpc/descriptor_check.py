"""One quota check of a descriptor, and what the core answered to it."""

from __future__ import annotations

import enum
from typing import Any, Protocol

from envoy.service.ratelimit.v3 import rls_pb2 as pb

from apigateway import messages

Code = Any  # of RateLimitResponse.Code
OK = pb.RateLimitResponse.OK
OVER_LIMIT = pb.RateLimitResponse.OVER_LIMIT
UNKNOWN = pb.RateLimitResponse.UNKNOWN  # nobody could decide

# Which code of a descriptor's checks is the descriptor's: the highest.
_CODE_RANK = {OK: 0, UNKNOWN: 1, OVER_LIMIT: 2}


class UndecidedReason(enum.Enum):
    """Why a check has no result."""

    NO_CAPACITY = enum.auto()
    FAILED = enum.auto()


CheckResult = messages.QuotaGranted | messages.QuotaDenied | UndecidedReason


class CheckOwner(Protocol):
    """The call that a check belongs to."""

    def on_check_decided(self) -> None:
        """Take in that one more check has its result."""


class DescriptorCheck:
    """The core's `QuotaCheckSink` of one check.

    Args:
        owner: The call.
        check: What the core is asked.
        plan: The plan whose units are checked.
        units_per_hit: What one hit of the descriptor spends.
    """

    __slots__ = ("_owner", "token", "check", "plan", "units_per_hit", "result")

    def __init__(
        self, owner: CheckOwner, check: messages.QuotaCheck, plan: messages.Plan, units_per_hit: float
    ) -> None:
        self._owner = owner
        self.check = check
        self.plan = plan
        self.units_per_hit = units_per_hit
        self.token: Any = None  # the core's own record
        self.result: CheckResult | None = None  # None: not yet

    def _decide(self, result: CheckResult) -> None:
        self.result = result
        self._owner.on_check_decided()

    def grant(self, granted: messages.QuotaGranted) -> None:
        """Take in that the units are granted."""
        self._decide(granted)

    def deny(self, denied: messages.QuotaDenied) -> None:
        """Take in that the units are denied."""
        self._decide(denied)

    def reject(self, retry_after: float) -> None:
        """Take in that there is no capacity here."""
        self._decide(UndecidedReason.NO_CAPACITY)

    def fail(self) -> None:
        """Take in that the check failed."""
        self._decide(UndecidedReason.FAILED)

    def complete(self, value: bytes) -> None:
        """Take a host's value for a failure: no host is asked."""
        self._decide(UndecidedReason.FAILED)

    @property
    def code(self) -> Code:
        """The code that this check would give its descriptor."""
        if isinstance(self.result, messages.QuotaGranted):
            return OK
        is_over = isinstance(self.result, messages.QuotaDenied) and self.result.is_over_quota
        return OVER_LIMIT if is_over else UNKNOWN


def descriptor_code(checks: tuple[DescriptorCheck, ...]) -> Code:
    """Return a descriptor's code: any check that is over makes it so, one that is unknown says no more."""
    if len(checks) == 1:
        return checks[0].code
    return max((check.code for check in checks), key=_CODE_RANK.__getitem__)

"""One quota check of a descriptor and its result from the core."""

from __future__ import annotations

import enum
from typing import Any, Protocol

from envoy.service.ratelimit.v3 import rls_pb2 as pb

from apigateway import messages

Code = Any  # a value of RateLimitResponse.Code
OK = pb.RateLimitResponse.OK
OVER_LIMIT = pb.RateLimitResponse.OVER_LIMIT
UNKNOWN = pb.RateLimitResponse.UNKNOWN  # the check could not be decided

# The code of a descriptor is the highest-ranked code of its checks.
_CODE_RANK = {OK: 0, UNKNOWN: 1, OVER_LIMIT: 2}


class UndecidedReason(enum.Enum):
    """Why a check was not decided."""

    NO_CAPACITY = enum.auto()
    FAILED = enum.auto()


CheckResult = messages.QuotaGranted | messages.QuotaDenied | UndecidedReason


class CheckOwner(Protocol):
    """The call to which a check belongs."""

    def on_check_decided(self) -> None:
        """Handle a check that has its result."""


class DescriptorCheck:
    """Receives the result of one check; implements the core's `QuotaCheckSink`.

    Args:
        owner: The call to which the check belongs.
        check: The check to submit to the core.
        plan: The plan whose quota is checked.
        units_per_hit: The units that one hit of the descriptor costs.
    """

    __slots__ = ("_owner", "token", "check", "plan", "units_per_hit", "result")

    def __init__(
        self, owner: CheckOwner, check: messages.QuotaCheck, plan: messages.Plan, units_per_hit: float
    ) -> None:
        self._owner = owner
        self.check = check
        self.plan = plan
        self.units_per_hit = units_per_hit
        self.token: Any = None  # the core's in-flight record of this check
        self.result: CheckResult | None = None  # None until decided

    def _decide(self, result: CheckResult) -> None:
        self.result = result
        self._owner.on_check_decided()

    def is_client_connected(self) -> bool:
        """Return True: checks are never forwarded, so it does not matter."""
        return True

    def grant(self, granted: messages.QuotaGranted) -> None:
        """Set the result: the units are granted."""
        self._decide(granted)

    def deny(self, denied: messages.QuotaDenied) -> None:
        """Set the result: the units are denied."""
        self._decide(denied)

    def reject(self, retry_after: float) -> None:
        """Set the result: undecided, because the gateway has no capacity."""
        self._decide(UndecidedReason.NO_CAPACITY)

    def fail(self) -> None:
        """Set the result: undecided, because the check failed."""
        self._decide(UndecidedReason.FAILED)

    def complete(self, value: bytes) -> None:
        """Treat a response from a host as a failure: checks are never forwarded to hosts."""
        self._decide(UndecidedReason.FAILED)

    @property
    def code(self) -> Code:
        """The response code of this check alone."""
        if isinstance(self.result, messages.QuotaGranted):
            return OK
        is_over = isinstance(self.result, messages.QuotaDenied) and self.result.is_over_quota
        return OVER_LIMIT if is_over else UNKNOWN


def descriptor_code(checks: tuple[DescriptorCheck, ...]) -> Code:
    """Return the code of a descriptor: OVER_LIMIT if any check is, else UNKNOWN if any check is, else OK."""
    if len(checks) == 1:
        return checks[0].code
    return max((check.code for check in checks), key=_CODE_RANK.__getitem__)

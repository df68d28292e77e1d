"""Requests and quota checks of clients, and what is returned of the units of a check."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from apigateway.contract.plans import Plan
from apigateway.contract.validation import require


@dataclass(frozen=True, slots=True)
class Request:
    """A request that a client has sent."""

    is_check: ClassVar[bool] = False  # it only spends units and is not forwarded to a host
    is_reservation: ClassVar[bool] = False  # it spends units for a request that may follow
    is_prepaid: ClassVar[bool] = False  # a reservation has spent its units

    request_id: str
    remaining: float  # s until the client gives up
    customer: str
    plan: str
    service_class: str
    units: float
    first_gateway: int  # index of the first of the customer's gateways, which are `gateway_spread` in a row
    gateway_spread: int
    is_retry: bool = False  # by the client
    is_write: bool = False
    route: str = ""  # name of a Route; empty: any host

    def __post_init__(self) -> None:
        require(self.units >= 0, f"request {self.request_id}: units must not be negative")
        require(self.gateway_spread >= 1, f"request {self.request_id}: spread must be at least 1")


@dataclass(frozen=True, slots=True)
class QuotaCheck(Request):
    """A check of whether a customer may use a number of units now.

    It spends them as a request would, is not forwarded, and is answered by QuotaGranted or QuotaDenied. A
    check of 0 units spends nothing. A check of more units than the burst is always denied.
    """

    is_check: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class QuotaReservation(QuotaCheck):
    """A check whose units a PrepaidRequest may use later.

    The ceiling counts the units when they are granted and, separately, when that request is forwarded. So
    neither the granted nor the forwarded units exceed the ceiling, however much time lies between them.
    """

    is_reservation: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class CustomLimitCheck(QuotaCheck):
    """A check against its own limit instead of its plan's.

    Its `customer` is a name derived from that limit. Its class and plan determine only its priority.
    """

    limit: Plan | None = None

    def __post_init__(self) -> None:
        require(
            self.limit is not None and self.limit.rate > 0,
            f"check {self.request_id}: a limit with a rate is required",
        )
        require(
            self.units >= 0 and self.gateway_spread >= 1,
            f"check {self.request_id}: units must not be negative, and spread must be at least 1",
        )


@dataclass(frozen=True, slots=True)
class PrepaidRequest(Request):
    """A request whose units a QuotaReservation has spent: it spends no quota."""

    is_prepaid: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class ReturnUnits:
    """Return of unused units that were granted to a QuotaCheck of this customer.

    They were not used because another check of the same call was denied. They can be spent again until the
    window in which they were spent ends.
    """

    is_reservation: ClassVar[bool] = False

    customer: str
    units: float
    window_index: int | None  # of the QuotaGranted
    plan: str = ""  # whose limits the check used; empty: those of the customer's latest request


@dataclass(frozen=True, slots=True)
class ReturnReservation(ReturnUnits):
    """Return of the unused units of a QuotaReservation."""

    is_reservation: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class RejectedByPlugin:
    """A request that a plug-in or an external service rejected before it spent any quota.

    The decision module has not seen this request before.
    """

    request_id: str
    retry_after: float  # s after which the client may retry

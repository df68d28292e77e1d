"""Pending requests, and the queue of those that wait for an endpoint."""

from dataclasses import dataclass
from enum import StrEnum

from apigateway import messages
from apigateway.policy.customer_quota import CustomerQuota
from apigateway.routing import AttemptHistory, FaultScope, PriorityQueue

LOCAL_SLOT = -1  # value of `slot`: a slot of this gateway's share of a concurrency limit


class Stage(StrEnum):
    """What a pending request waits for."""

    UNITS = "units"  # units of its customer's quota
    SLOT = "slot"  # a slot of its customer's concurrency limit
    CEILING = "ceiling"  # tokens of its customer's ceiling
    QUEUE = "queue"  # an endpoint
    SENT = "sent"  # the outcome of an attempt


@dataclass(slots=True, eq=False)
class PendingRequest(AttemptHistory):
    """A request that has no response yet, with its progress."""

    request: messages.Request
    service_class: messages.ServiceClass
    plan: messages.Plan
    quota: CustomerQuota
    arrived_at: float
    deadline: float
    priority: float  # priority weight of all its units
    priority_density: float  # priority per second of an endpoint's time
    fault_scope: FaultScope
    headroom_units: float  # units of the quota kept for classes of greater weight
    allowed_kinds: tuple[str, ...]  # kinds of hosts that its route allows; empty: all
    stage: Stage = Stage.UNITS
    grant_probability: float = 1.0  # that its quota has units for it, estimated without a call to the counter
    failed_call_count: int = 0  # calls to the counter without a total, while it waited for units
    has_taken_units: bool = False  # from its quota, leased or allowed without a lease
    is_over_quota: bool = False  # whether it is forwarded beyond its quota
    slot: int = 0  # of the concurrency limit: LOCAL_SLOT or the epoch of the shared count; 0: none
    is_streaming: bool = False
    done: bool = False


class PendingQueue(PriorityQueue[PendingRequest]):
    """Requests that wait for an endpoint. Requests on the same queue route may go to the same endpoints."""

    def add(self, pending: PendingRequest) -> None:
        """Add a request, on a separate queue route if its possible executions restrict its endpoints."""
        pending.stage = Stage.QUEUE
        may_have_executed = pending.possibly_executed or pending.in_flight
        is_separate = may_have_executed and not pending.service_class.is_safe
        request_id = pending.request.request_id if is_separate else ""
        route = (
            pending.service_class.name,
            pending.allowed_kinds,
            frozenset(pending.tried_endpoint_ids),
            request_id,
        )
        self.insert(route, not pending.is_over_quota, pending.priority_density, pending)

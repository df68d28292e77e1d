"""Requests in progress, and the queue of those that wait for an endpoint."""

from dataclasses import dataclass
from enum import StrEnum

from apigateway import messages
from apigateway.policy.customer_quota import CustomerQuota
from apigateway.routing import AttemptHistory, FaultScope, PriorityQueue

OWN_SLOT = -1  # of this gateway's part of a concurrency limit


class Stage(StrEnum):
    """What a pending request waits for."""

    UNITS = "units"  # units of its customer's quota
    SLOT = "slot"  # a slot of its customer's concurrency limit
    CEILING = "ceiling"  # its customer's ceiling to fill
    QUEUE = "queue"  # an endpoint
    SENT = "sent"  # the outcome of an attempt


@dataclass(slots=True, eq=False)
class PendingRequest(AttemptHistory):
    """A request that has no response yet, and what has come of it so far."""

    request: messages.Request
    service_class: messages.ServiceClass
    plan: messages.Plan
    quota: CustomerQuota
    arrived_at: float
    deadline: float
    priority: float  # priority weight of all its units
    priority_density: float  # its priority a second of an endpoint's time
    fault_scope: FaultScope
    kept_units: float  # of the quota, kept for classes of more weight
    allowed_kinds: tuple[str, ...]  # of the endpoints that its route keeps it to; none: any
    stage: Stage = Stage.UNITS
    grant_odds: float = 1.0  # that its quota has units for it, as far as is known without asking
    is_over_quota: bool = False  # forwarded all the same
    slot: int = 0  # held of the concurrency limit: OWN_SLOT, or the epoch of the shared count; 0: none
    is_streaming: bool = False
    done: bool = False


class PendingQueue(PriorityQueue[PendingRequest]):
    """Requests that wait for an endpoint; those on one route may go to the same endpoints."""

    def add(self, pending: PendingRequest) -> None:
        """Let a request wait, on a route of its own if it may not be repeated anywhere."""
        pending.stage = Stage.QUEUE
        is_unproven = pending.possibly_executed or pending.in_flight
        alone = is_unproven and not pending.service_class.is_safe
        request_id = pending.request.request_id if alone else ""
        route = (
            pending.service_class.name,
            pending.allowed_kinds,
            frozenset(pending.tried_endpoint_ids),
            request_id,
        )
        self.insert(route, not pending.is_over_quota, pending.priority_density, pending)

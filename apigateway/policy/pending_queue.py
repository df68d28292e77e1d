"""Requests that this gateway works on, and the queue of those that wait for an endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field

from apigateway import messages
from apigateway.policy.customer_quota import CustomerQuota
from apigateway.routing.fault_scope import FaultScope
from apigateway.routing.priority_queue import PriorityQueue


@dataclass(slots=True, eq=False)
class PendingRequest:
    request: messages.Request
    cls: messages.ServiceClass
    plan: messages.Plan
    quota: CustomerQuota
    arrived_at: float
    deadline: float
    worth: float
    value: float  # worth a unit of work
    fault_scope: FaultScope
    stage: str = "units"  # units, slot, queue, sent
    over_quota: bool = False
    slot: int = 0  # open attempt held: own part -1, or the epoch of the shared count
    sends: int = 0
    is_streaming: bool = False
    allowed_kinds: tuple[str, ...] = ()  # of the hosts that its route keeps it to; none: any
    in_flight: dict[int, tuple[str, float]] = field(default_factory=dict)
    possibly_executed: list[tuple[str, float]] = field(default_factory=list)  # ended, but may have run
    timed_out: set[int] = field(default_factory=set)  # attempts whose silence was noted,
    given_up: set[int] = field(default_factory=set)  # and once more, past the time to try another
    tried: set[str] = field(default_factory=set)
    done: bool = False
    is_check: bool = False  # goes to no host: its units are all that is asked for
    is_prepaid: bool = False  # a check has spent its units
    odds: float = 1.0  # that its customer's quota has room for it, as far as is known without asking
    is_over_limit: bool = False  # refused for its customer's quota or ceiling


class PendingQueue(PriorityQueue[PendingRequest]):
    """Requests that wait for an endpoint; those on one route may go to the same endpoints."""

    def add(self, job: PendingRequest) -> None:
        """What is not proven not to have run, or was tried before, has fewer hosts left."""
        alone = (job.possibly_executed or job.in_flight) and job.cls.effect != "safe"
        route = job.cls.name, job.allowed_kinds, frozenset(job.tried), job.request.request_id if alone else ""
        self.insert(route, not job.over_quota, job.value, job)

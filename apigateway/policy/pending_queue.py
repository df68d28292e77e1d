"""Requests that this gateway works on, and the queue of those that wait for an endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field

from apigateway import messages
from apigateway.policy.customer_quota import Account
from apigateway.routing.fault_scope import FaultScope
from apigateway.routing.priority_queue import PriorityQueue


@dataclass(slots=True, eq=False)
class Job:
    req: messages.Request
    cls: messages.ServiceClass
    plan: messages.Plan
    acct: Account
    arrived: float
    deadline: float
    worth: float
    value: float  # worth a unit of work
    keys: FaultScope
    stage: str = "units"  # units, slot, queue, sent
    beyond: bool = False
    slot: int = 0  # open attempt held: own part -1, or the epoch of the shared count
    sends: int = 0
    streaming: bool = False
    kinds: tuple[str, ...] = ()  # of the hosts that its route keeps it to; none: any
    live: dict[int, tuple[str, float]] = field(default_factory=dict)
    ran: list[tuple[str, float]] = field(default_factory=list)  # ended, but may have run
    late: set[int] = field(default_factory=set)  # attempts whose silence was noted,
    left: set[int] = field(default_factory=set)  # and once more, past the time to try another
    avoid: set[str] = field(default_factory=set)
    done: bool = False
    check: bool = False  # goes to no host: its units are all that is asked for
    paid: bool = False  # a check has spent its units
    odds: float = 1.0  # that its customer's quota has room for it, as far as is known without asking
    over: bool = False  # refused for its customer's quota or ceiling


class PendingQueue(PriorityQueue[Job]):
    """Requests that wait for an endpoint: the worthiest first, of equals the latest. Those on one route may
    go to the same endpoints, so the first of them speaks for all."""

    def add(self, job: Job) -> None:
        """What is not proven not to have run, or was tried before, has fewer hosts left."""
        alone = (job.ran or job.live) and job.cls.effect != "safe"
        route = job.cls.name, job.kinds, frozenset(job.avoid), job.req.request_id if alone else ""
        self.insert(route, not job.beyond, job.value, job)

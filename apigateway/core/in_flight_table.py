"""The table of requests in flight, and the capacity that they use."""

from __future__ import annotations

import asyncio
import contextlib
import time

from apigateway import messages
from apigateway.core.budget import Budget
from apigateway.core.context import CoreContext
from apigateway.core.deadlines import RESPONSE_MARGIN_S
from apigateway.core.executed_requests import ExecutedRequests
from apigateway.core.in_flight_request import (
    NO_SINK,
    NO_UPSTREAM_REQUEST,
    NOT_REGISTERED,
    InFlightRequest,
)
from apigateway.core.interfaces import InFlightRegistry, ResponseSink, UpstreamRequest
from apigateway.core.outcomes import AcquireFailure

# Share of the memory for clients that requests leave to the responses of those in flight.
RESPONSE_SHARE = 0.25


class DuplicateRequestError(Exception):
    """A request with this id is in flight, from any frontend, or a write that may have run."""


class InFlightTable:
    """All accepted requests that are not finished or have active attempts.

    Args:
        context: Collaborators of the core.
        max_in_flight: Maximum number of requests in flight, over all frontends.
        max_client_bytes: Maximum memory that clients use, over all frontends: received bytes, requests, and
            responses that are not written.
    """

    def __init__(self, context: CoreContext, max_in_flight: int, max_client_bytes: float) -> None:
        self._context = context
        self.requests: dict[str, InFlightRequest] = {}  # by request id
        self.request_budget = Budget(max_in_flight)
        self.memory_budget = Budget(max_client_bytes)
        self.executed = ExecutedRequests()
        self._is_rejecting = False  # the process is near its memory limit
        self.drained = asyncio.Event()  # set when the last request is released while the gateway drains

    def register_frontend(self, frontend: object) -> None:
        """Reserve capacity for a frontend."""
        self.request_budget.join(frontend)
        self.memory_budget.join(frontend)

    def unregister_frontend(self, frontend: object) -> None:
        """Return a frontend's reserved capacity to the other frontends."""
        self.request_budget.leave(frontend)
        self.memory_budget.leave(frontend)

    def set_rejecting(self, is_rejecting: bool) -> None:
        """Reject new requests, or accept them again."""
        self._is_rejecting = is_rejecting

    def is_in_flight(self, request_id: str, is_write: bool) -> bool:
        """Return whether a request may be running, or is a write that may have run, in any worker."""
        if self.is_in_flight_here(request_id, is_write):
            return True
        registry = self._context.in_flight_registry
        return is_write and registry is not None and registry.is_held(request_id)

    def is_in_flight_here(self, request_id: str, is_write: bool) -> bool:
        """Return whether a request may be running, or is a write that may have run, in this worker."""
        if request_id in self.requests:
            return True
        return is_write and self.executed.contains(request_id, time.monotonic())

    def customer_of(self, event: messages.Event) -> str:
        """Return the customer of an event or of the request that it names; empty if there is none."""
        in_flight = self.requests.get(getattr(event, "request_id", ""))
        return in_flight.customer if in_flight is not None else getattr(event, "customer", "")

    def reserve(self, frontend: object, request: messages.Request) -> int | None:
        """Check whether a request can be accepted, and register the request if it is a write.

        Returns:
            The request's registry slot, or NOT_REGISTERED; None if it must be rejected.

        Raises:
            DuplicateRequestError: Another worker holds the request.
        """
        can_accept = (
            self._context.accepts_requests
            and not self._is_rejecting
            and self.request_budget.available_to(frontend) > 0
            and self.memory_budget.available_to(frontend) >= self.memory_budget.limit * RESPONSE_SHARE
        )
        registry = self._context.in_flight_registry
        if registry is not None and request.is_write:
            return self._register(registry, request, can_accept)
        return NOT_REGISTERED if can_accept else None

    def _register(
        self, registry: InFlightRegistry, request: messages.Request, can_accept: bool
    ) -> int | None:
        if not can_accept:
            # A rejection states that the write has not run, which is unknown if another worker holds it.
            if registry.is_held(request.request_id):
                raise DuplicateRequestError
            return None
        slot = registry.acquire(request.request_id, request.remaining + RESPONSE_MARGIN_S)
        if slot == AcquireFailure.ALREADY_HELD:
            raise DuplicateRequestError
        return None if slot == AcquireFailure.NO_FREE_SLOT else slot

    def add(
        self,
        frontend: object,
        request: messages.Request,
        upstream_request: UpstreamRequest,
        sink: ResponseSink,
        registry_slot: int,
    ) -> InFlightRequest:
        """Add a request for which `reserve` found capacity; its deadline counts from now."""
        deadline = time.monotonic() + request.remaining
        in_flight = InFlightRequest(
            request.request_id,
            sink,
            upstream_request,
            frontend,
            deadline,
            registry_slot,
            request.customer,
            request.is_write,
        )
        sink.token = in_flight
        self.requests[request.request_id] = in_flight
        self.request_budget.acquire(frontend, 1)
        self.memory_budget.acquire(frontend, upstream_request.size_bytes)
        return in_flight

    def release_client(self, in_flight: InFlightRequest) -> None:
        """Release the body of a finished request, and the sink, which refers to the client's connection.

        The request itself may be referenced for longer, by attempts that have not ended.
        """
        size_bytes = in_flight.upstream_request.size_bytes
        in_flight.upstream_request = NO_UPSTREAM_REQUEST
        self.memory_budget.release(in_flight.frontend, size_bytes)
        in_flight.sink.token = None
        in_flight.sink = NO_SINK

    def release_if_ended(self, in_flight: InFlightRequest) -> None:
        """Release a request's place in the table once it is finished and its last attempt has ended."""
        if not in_flight.is_finished or in_flight.active_attempts:
            return
        if self.requests.pop(in_flight.request_id, None) is None:
            return
        self.request_budget.release(in_flight.frontend, 1)
        registry = self._context.in_flight_registry
        has_run_unanswered = in_flight.may_have_run and in_flight.is_client_disconnected
        if in_flight.is_write and in_flight.may_have_run:
            self.executed.add(in_flight.request_id, time.monotonic())
        # The mark of a write whose client may send it again to another worker stays until it expires.
        if registry is not None and in_flight.registry_slot >= 0 and not has_run_unanswered:
            registry.release(in_flight.registry_slot)
        if self._context.is_draining and not self.requests:
            self.drained.set()

    async def wait_until_drained(self, seconds: float) -> bool:
        """Wait up to `seconds` until no request is in flight; return whether that is the case."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while self.requests:  # others may have been accepted since the last one ended
                    self.drained.clear()
                    await self.drained.wait()
        return not self.requests

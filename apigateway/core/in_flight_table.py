"""The requests in flight, and the capacity that they use."""

from __future__ import annotations

import asyncio
import time

from apigateway import messages
from apigateway.core.budget import Budget
from apigateway.core.context import CoreContext
from apigateway.core.deadlines import RESPONSE_MARGIN_S
from apigateway.core.in_flight_request import NOT_REGISTERED, InFlightRequest
from apigateway.core.interfaces import InFlightRegistry, ResponseSink, UpstreamRequest
from apigateway.core.outcomes import AcquireFailure


class DuplicateRequestError(Exception):
    """A request with this id is in flight, by this frontend or another."""


class InFlightTable:
    """All accepted requests by their id, until each is finished and its last attempt has ended.

    Args:
        context: The core's.
        max_in_flight: Requests that may be in flight at once, over all frontends together.
        max_body_bytes: Bytes of their bodies that may be held at once, likewise.
    """

    def __init__(self, context: CoreContext, max_in_flight: int, max_body_bytes: float) -> None:
        self._context = context
        self.requests: dict[str, InFlightRequest] = {}  # by request id
        self.request_budget = Budget(max_in_flight)
        self.body_budget = Budget(max_body_bytes)
        self.drained = asyncio.Event()  # set when the last request is released while the gateway drains

    def register_frontend(self, frontend: object) -> None:
        """Reserve capacity for a frontend."""
        self.request_budget.join(frontend)
        self.body_budget.join(frontend)

    def unregister_frontend(self, frontend: object) -> None:
        """Give a frontend's capacity to the others."""
        self.request_budget.leave(frontend)
        self.body_budget.leave(frontend)

    def is_in_flight(self, request_id: str, is_write: bool) -> bool:
        """Tell whether a request may be running here or, if it is a write, at another worker."""
        if request_id in self.requests:
            return True
        registry = self._context.in_flight_registry
        return is_write and registry is not None and registry.is_held(request_id)

    def reserve(self, frontend: object, request: messages.Request) -> int | None:
        """Look for capacity for a request, and register it if it is a write.

        Returns:
            The request's place in the registry, or NOT_REGISTERED; None if there is no capacity.

        Raises:
            DuplicateRequestError: Another worker holds the request.
        """
        has_capacity = (
            self.request_budget.available_to(frontend) > 0 and self.body_budget.available_to(frontend) >= 0
        )
        registry = self._context.in_flight_registry
        if registry is not None and request.is_write:
            return self._register(registry, request, has_capacity)
        return NOT_REGISTERED if has_capacity else None

    def _register(
        self, registry: InFlightRegistry, request: messages.Request, has_capacity: bool
    ) -> int | None:
        if not has_capacity:
            # A rejection says that the write has not run, which is not known of one held elsewhere.
            if registry.is_held(request.request_id):
                raise DuplicateRequestError
            return None
        place = registry.acquire(request.request_id, request.remaining + RESPONSE_MARGIN_S)
        if place == AcquireFailure.ALREADY_HELD:
            raise DuplicateRequestError
        return None if place == AcquireFailure.NO_FREE_SLOT else place

    def add(
        self,
        frontend: object,
        request: messages.Request,
        upstream_request: UpstreamRequest,
        sink: ResponseSink,
        registry_place: int,
    ) -> InFlightRequest:
        """Accept a request for which `reserve` found capacity; its deadline starts to run."""
        deadline = time.monotonic() + request.remaining
        in_flight = InFlightRequest(
            request.request_id, sink, upstream_request, frontend, deadline, registry_place, request.customer
        )
        sink.token = in_flight
        self.requests[request.request_id] = in_flight
        self.request_budget.acquire(frontend, 1)
        self.body_budget.acquire(frontend, upstream_request.body_size)
        return in_flight

    def release_if_ended(self, in_flight: InFlightRequest) -> None:
        """Release a request's capacity once it is finished and its last attempt has ended."""
        if not in_flight.is_finished or in_flight.active_attempts:
            return
        if self.requests.pop(in_flight.request_id, None) is None:
            return
        self.request_budget.release(in_flight.frontend, 1)
        self.body_budget.release(in_flight.frontend, in_flight.upstream_request.body_size)
        registry = self._context.in_flight_registry
        if registry is not None and in_flight.registry_place >= 0:
            registry.release(in_flight.registry_place)
        if self._context.is_draining and not self.requests:
            self.drained.set()

    async def wait_until_drained(self, seconds: float) -> bool:
        """Wait until nothing is in flight, `seconds` at most; tell whether that came about."""
        if not self.requests:
            return True
        self.drained.clear()
        try:
            async with asyncio.timeout(seconds):
                await self.drained.wait()
        except TimeoutError:
            return False
        return True

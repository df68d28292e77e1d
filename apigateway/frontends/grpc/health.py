"""The gRPC health checking protocol, grpc.health.v1 (grpc/health/v1/health.proto)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from grpc_health.v1 import health_pb2 as pb

from apigateway.frontends.grpc.methods import StreamingMethod, StreamResponder, UnaryMethod, UnaryResponder
from apigateway.upstream.rpc import GrpcStatus

SERVICE_NAME = "grpc.health.v1.Health"
CHECK_PATH = f"/{SERVICE_NAME}/Check"
WATCH_PATH = f"/{SERVICE_NAME}/Watch"
LIST_PATH = f"/{SERVICE_NAME}/List"
SERVER = ""  # the name that stands for the server as a whole

ServingStatus = Any  # a value of HealthCheckResponse.ServingStatus
SERVING = pb.HealthCheckResponse.SERVING
NOT_SERVING = pb.HealthCheckResponse.NOT_SERVING
SERVICE_UNKNOWN = pb.HealthCheckResponse.SERVICE_UNKNOWN

_UNREADABLE = "the message cannot be read"


class HealthService:
    """Health service for several services that share one status.

    Args:
        services: The full names of the services.
        is_serving: Returns whether the server accepts new calls.
    """

    def __init__(self, services: Iterable[str], is_serving: Callable[[], bool]) -> None:
        self._services = (SERVER, *services)
        self._is_serving = is_serving
        self.watches: set[HealthWatch] = set()

    def status(self, service: str) -> ServingStatus:
        """Return the status of a service; None if the service is unknown."""
        if service not in self._services:
            return None
        return SERVING if self._is_serving() else NOT_SERVING

    def notify_watches(self) -> None:
        """Notify all watches. Call this when the result of `is_serving` may have changed."""
        for watch in list(self.watches):
            watch.notify()

    def methods(self) -> dict[str, UnaryMethod]:
        """Return the unary methods by path."""
        return {CHECK_PATH: self._check, LIST_PATH: self._list}

    def streams(self) -> dict[str, StreamingMethod]:
        """Return the streaming methods by path."""
        return {WATCH_PATH: self._watch}

    def _check(self, message: bytes, timeout: float | None, responder: UnaryResponder) -> None:
        try:
            service = pb.HealthCheckRequest.FromString(message).service
        except Exception:  # malformed bytes raise not only protobuf's DecodeError
            responder.fail(GrpcStatus.INTERNAL, _UNREADABLE)
            return
        status = self.status(service)
        if status is None:
            responder.fail(GrpcStatus.NOT_FOUND, f"no service {service}")
        else:
            responder.respond(pb.HealthCheckResponse(status=status).SerializeToString())

    def _list(self, message: bytes, timeout: float | None, responder: UnaryResponder) -> None:
        response = pb.HealthListResponse()
        for service in self._services:
            status = self.status(service)
            response.statuses[service].status = SERVICE_UNKNOWN if status is None else status
        responder.respond(response.SerializeToString())

    def _watch(self, responder: StreamResponder) -> HealthWatch:
        return HealthWatch(self, responder)


class HealthWatch:
    """One Watch call: it sends the current status and every change."""

    def __init__(self, health: HealthService, responder: StreamResponder) -> None:
        self._health = health
        self._responder = responder
        self._service = ""
        self._last_status: ServingStatus = None
        self._has_request = False

    def on_message(self, message: bytes) -> None:
        """Handle the request; a second one is an error."""
        if self._has_request:
            self.on_cancelled()
            self._responder.end(GrpcStatus.INTERNAL, "one message only")
            return
        try:
            self._service = pb.HealthCheckRequest.FromString(message).service
        except Exception:  # as in `_check`
            self._responder.end(GrpcStatus.INTERNAL, _UNREADABLE)
            return
        self._has_request = True
        self._health.watches.add(self)
        self.notify()

    def notify(self) -> None:
        """Send the status if it has changed."""
        status = self._health.status(self._service)
        if status is None:
            status = SERVICE_UNKNOWN
        if status != self._last_status:
            self._last_status = status
            self._responder.send(pb.HealthCheckResponse(status=status).SerializeToString())

    def on_half_closed(self) -> None:
        """Fail the call if there was no request; otherwise keep watching."""
        if not self._has_request:
            self._responder.end(GrpcStatus.INTERNAL, "no message")

    def on_cancelled(self) -> None:
        """Stop watching."""
        self._health.watches.discard(self)

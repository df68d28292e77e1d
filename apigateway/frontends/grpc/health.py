"""grpc.health.v1: whether this server serves, as a whole and by service (grpc/health/v1/health.proto)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from grpc_health.v1 import health_pb2 as pb

from apigateway.frontends.grpc.frontend import Flow, Method, Streams
from apigateway.upstream.rpc import INTERNAL, NOT_FOUND

CHECK, WATCH, LIST = (f"/grpc.health.v1.Health/{name}" for name in ("Check", "Watch", "List"))
SERVING, NOT_SERVING = pb.HealthCheckResponse.SERVING, pb.HealthCheckResponse.NOT_SERVING
UNKNOWN_SERVICE = pb.HealthCheckResponse.SERVICE_UNKNOWN


class Watcher:
    """One call of Watch: told now, and at each change."""

    def __init__(self, health: Health, flow: Flow) -> None:
        self.health, self.flow, self.service = health, flow, ""
        self.told: Any = None
        self.asked = False

    def heard(self, message: bytes) -> None:
        if self.asked:
            self.gone()
            self.flow.end(INTERNAL, "one message only")
            return
        try:
            self.service = pb.HealthCheckRequest.FromString(message).service
        except Exception:
            self.flow.end(INTERNAL, "the message cannot be read")
            return
        self.asked = True
        self.health.watchers.add(self)
        self.tell()

    def tell(self) -> None:
        status = self.health.status(self.service)
        status = UNKNOWN_SERVICE if status is None else status
        if status != self.told:
            self.told = status
            self.flow.say(pb.HealthCheckResponse(status=status).SerializeToString())

    def done(self) -> None:
        if not self.asked:
            self.flow.end(INTERNAL, "no message")

    def gone(self) -> None:
        self.health.watchers.discard(self)


class Health:
    """`serving`: whether new calls are taken now. `changed` is to be called when that may have changed."""

    def __init__(self, services: Iterable[str], serving: Callable[[], bool]) -> None:
        self.services, self.serving = ("", *services), serving
        self.watchers: set[Watcher] = set()

    def status(self, service: str) -> Any:
        """Of HealthCheckResponse.ServingStatus; None: there is no such service."""
        if service not in self.services:
            return None
        return SERVING if self.serving() else NOT_SERVING

    def changed(self) -> None:
        for watcher in list(self.watchers):
            watcher.tell()

    def check(
        self,
        message: bytes,
        timeout: float | None,
        answered: Callable[[bytes], None],
        failed: Callable[[int, str], None],
    ) -> None:
        try:
            service = pb.HealthCheckRequest.FromString(message).service
        except Exception:
            failed(INTERNAL, "the message cannot be read")
            return
        status = self.status(service)
        if status is None:
            failed(NOT_FOUND, f"no service {service}")
        else:
            answered(pb.HealthCheckResponse(status=status).SerializeToString())

    def list(
        self,
        message: bytes,
        timeout: float | None,
        answered: Callable[[bytes], None],
        failed: Callable[[int, str], None],
    ) -> None:
        response = pb.HealthListResponse()
        for service in self.services:
            status = self.status(service)
            response.statuses[service].status = UNKNOWN_SERVICE if status is None else status
        answered(response.SerializeToString())

    def watch(self, flow: Flow) -> Watcher:
        return Watcher(self, flow)

    def methods(self) -> dict[str, Method]:
        return {CHECK: self.check, LIST: self.list}

    def streams(self) -> dict[str, Streams]:
        return {WATCH: self.watch}

"""A client of the rate limit service that sends customers' quota checks and records granted ones in a ledger.

It uses grpcio, which shares no code with the gateway.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from apigateway.emulators.grpcio_forks import prepare_for_forks

prepare_for_forks()  # before grpcio is imported

import grpc  # noqa: E402
from envoy.service.ratelimit.v3 import rls_pb2 as pb  # noqa: E402

from apigateway.emulators.clients import Customer  # noqa: E402
from apigateway.emulators.ledger import Ledger  # noqa: E402

METHOD = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"
OK = pb.RateLimitResponse.OK


class ScheduledCheck(NamedTuple):
    """The time of a customer's next check, with the customer's index."""

    at: float  # seconds from the start
    customer: int


class CheckClient:
    """Sends checks to gateways by name, with a customer's id and plan as descriptor entries.

    Attributes:
        outcome_counts: The number of checks by outcome: "ok", "over", or "failed" with the gRPC status.
        error_details: The error details of each failed check.
        latencies_s: The latency of each answered check.
    """

    def __init__(
        self, ledger: Ledger, gateways: Mapping[str, tuple[str, int]], domain: str = "roster"
    ) -> None:
        self.ledger = ledger
        self.domain = domain
        self.channels = {
            name: grpc.aio.insecure_channel(f"{host}:{port}") for name, (host, port) in gateways.items()
        }
        self.stubs = {
            name: channel.unary_unary(
                METHOD, pb.RateLimitRequest.SerializeToString, pb.RateLimitResponse.FromString
            )
            for name, channel in self.channels.items()
        }
        self.outcome_counts: Counter[str] = Counter()
        self.error_details: list[str] = []
        self.latencies_s: list[float] = []

    async def check(
        self, gateway: str, customer: str, plan: str, hits: int = 1, timeout_s: float = 1.0
    ) -> pb.RateLimitResponse | None:
        """Check `hits` of a customer and return the response, or None if the call failed."""
        loop = asyncio.get_running_loop()
        request = pb.RateLimitRequest(domain=self.domain, hits_addend=hits)
        descriptor = request.descriptors.add()
        descriptor.entries.add(key="customer", value=customer)
        descriptor.entries.add(key="plan", value=plan)
        started_at = loop.time()
        try:
            response: pb.RateLimitResponse = await self.stubs[gateway](request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            self.outcome_counts[f"failed {error.code().name}"] += 1
            self.error_details.append(error.details() or "")
            return None
        self.latencies_s.append(loop.time() - started_at)
        if response.overall_code == OK:
            self.ledger.record_grant(customer, plan, float(hits))
            self.outcome_counts["ok"] += 1
        else:
            self.outcome_counts["over"] += 1
        return response

    async def run(self, customers: Sequence[Customer], seconds: float, seed: int = 1) -> None:
        """Send checks on a Poisson schedule (open loop), each to a gateway of its customer."""
        loop = asyncio.get_running_loop()
        rng = random.Random(seed)
        gateways = list(self.stubs)
        schedule = sorted(
            ScheduledCheck(at, number)
            for number, customer in enumerate(customers)
            for at in arrival_times(rng, customer.rate, seconds)
        )
        tasks: set[asyncio.Task[object]] = set()
        started_at = loop.time()
        for scheduled in schedule:
            await asyncio.sleep(max(0.0, started_at + scheduled.at - loop.time()))
            customer = customers[scheduled.customer]
            gateway = gateways[
                (customer.first_gateway + rng.randrange(customer.gateway_count)) % len(gateways)
            ]
            task = loop.create_task(self.check(gateway, customer.id, customer.plan))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(list(tasks))

    async def close(self) -> None:
        """Close the channels."""
        for channel in self.channels.values():
            await channel.close()


def arrival_times(rng: random.Random, rate: float, seconds: float) -> list[float]:
    """Draw the event times of a Poisson process with `rate` events a second."""
    times: list[float] = []
    at = rng.expovariate(rate) if rate > 0 else seconds
    while at < seconds:
        times.append(at)
        at += rng.expovariate(rate)
    return times

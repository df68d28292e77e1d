"""Clients of a rate limit service (grpcio, a foreign client) that carry customers' checks and write down what
they were granted."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Mapping, Sequence

import grpc
from envoy.service.ratelimit.v3 import rls_pb2 as pb

from apigateway.emulators.clients import Customer
from apigateway.emulators.ledger import Ledger

METHOD = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"
OK, OVER = pb.RateLimitResponse.OK, pb.RateLimitResponse.OVER_LIMIT


class Checks:
    """Asks gateways, by name, in `domain`, with a customer's id and plan as entries. Answers are counted as
    ok, over, and failed with its gRPC status."""

    def __init__(
        self, ledger: Ledger, gateways: Mapping[str, tuple[str, int]], domain: str = "roster"
    ) -> None:
        self.ledger, self.domain = ledger, domain
        self.channels = {
            name: grpc.aio.insecure_channel(f"{host}:{port}") for name, (host, port) in gateways.items()
        }
        self.calls = {
            name: channel.unary_unary(
                METHOD, pb.RateLimitRequest.SerializeToString, pb.RateLimitResponse.FromString
            )
            for name, channel in self.channels.items()
        }
        self.counts: Counter[str] = Counter()
        self.failures: list[str] = []
        self.latency: list[float] = []  # s, of what was answered

    async def ask(
        self, gateway: str, customer: str, plan: str, hits: int = 1, timeout: float = 1.0
    ) -> pb.RateLimitResponse | None:
        """None: nobody could say."""
        loop = asyncio.get_running_loop()
        request = pb.RateLimitRequest(domain=self.domain, hits_addend=hits)
        descriptor = request.descriptors.add()
        for key, value in (("customer", customer), ("plan", plan)):
            descriptor.entries.add(key=key, value=value)
        began = loop.time()
        try:
            response: pb.RateLimitResponse = await self.calls[gateway](request, timeout=timeout)
        except grpc.aio.AioRpcError as err:
            self.counts[f"failed {err.code().name}"] += 1
            self.failures.append(err.details() or "")
            return None
        self.latency.append(loop.time() - began)
        if response.overall_code == OK:
            self.ledger.granted(customer, plan, float(hits))
        self.counts["ok" if response.overall_code == OK else "over"] += 1
        return response

    async def run(self, customers: Sequence[Customer], seconds: float, seed: int = 1) -> None:
        """Customers' checks by a schedule of their own (Poisson), each at a gateway of its customer's set."""
        loop, rng, names = asyncio.get_running_loop(), random.Random(seed), list(self.calls)
        due = sorted((at, n) for n, c in enumerate(customers) for at in times(rng, c.rate, seconds))
        tasks, began = set[asyncio.Task[object]](), loop.time()
        for at, n in due:
            await asyncio.sleep(max(0.0, began + at - loop.time()))
            customer = customers[n]
            place = names[(customer.first + rng.randrange(customer.spread)) % len(names)]
            task = loop.create_task(self.ask(place, customer.id, customer.plan))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(list(tasks))

    async def close(self) -> None:
        for channel in self.channels.values():
            await channel.close()


def times(rng: random.Random, rate: float, seconds: float) -> list[float]:
    found, at = [], rng.expovariate(rate) if rate > 0 else seconds
    while at < seconds:
        found.append(at)
        at += rng.expovariate(rate)
    return found

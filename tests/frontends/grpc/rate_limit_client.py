"""A gRPC listener on a gateway, asked by grpcio with the messages of the package registry."""

import grpc
import pytest
from envoy.service.ratelimit.v3 import rls_pb2 as pb
from gateway_harness import SETTINGS

from apigateway.frontends.grpc.frontend import GrpcFrontend
from apigateway.frontends.grpc.mapping import DescriptorMapping, MappingRule
from apigateway.frontends.grpc.service import SHOULD_RATE_LIMIT_PATH, RateLimitService, ServiceSettings

CONF = SETTINGS | {"plans": [*SETTINGS["plans"], {"name": "quota", "rate": 0.01, "most_at_once": 20.0}]}
A, B, C = "00000000000000aa", "00000000000000bb", "00000000000000cc"


class RateLimitClient:
    """A gRPC listener on a gateway, and a client of it."""

    def __init__(self, harness, spread=1, **kw):
        core = harness.server.core
        self.front = GrpcFrontend(core, ("127.0.0.1", 0), 50)
        rules = [
            MappingRule("payroll", ("account",), "{account}", "quota", "read", gateway_spread=spread),
            MappingRule("payroll", ("account", "plan"), "{account}", "{plan}", "read"),
            MappingRule("payroll", ("account", "cost=two"), "{account}", "quota", "read", units_per_hit=2.0),
        ]
        mapping = DescriptorMapping(
            rules, core.settings.plans, core.settings.classes, core.settings.gateway_count
        )
        self.service = RateLimitService(
            core, self.front, ServiceSettings(mapping, **{"max_timeout": 2.0, **kw})
        )
        self.front.set_methods({SHOULD_RATE_LIMIT_PATH: self.service.should_rate_limit})

    async def __aenter__(self):
        await self.front.listen()
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{self.front.port}")
        self.call = self.channel.unary_unary(
            SHOULD_RATE_LIMIT_PATH, pb.RateLimitRequest.SerializeToString, pb.RateLimitResponse.FromString
        )
        return self

    async def ask(self, *descriptors, hits=0, timeout=5.0, domain="payroll"):
        """A descriptor: a customer, or a dict of entries, with `hits` for its own."""
        request = pb.RateLimitRequest(domain=domain, hits_addend=hits)
        for one in descriptors:
            entries = {"account": one} if isinstance(one, str) else dict(one)
            told = request.descriptors.add()
            if (own := entries.pop("hits", None)) is not None:
                told.hits_addend.value = own
            if (limit := entries.pop("limit", None)) is not None:
                told.limit.requests_per_unit, told.limit.unit = limit
            for key, value in entries.items():
                told.entries.add(key=key, value=value)
        return await self.call(request, timeout=timeout)

    async def status(self, *descriptors, **kw):
        with pytest.raises(grpc.aio.AioRpcError) as told:
            await self.ask(*descriptors, **kw)
        return told.value.code()

    async def __aexit__(self, *_):
        await self.channel.close()
        self.front.start_draining()
        self.front.close()


def codes(response):
    return [status.code for status in response.statuses]


OK, OVER = pb.RateLimitResponse.OK, pb.RateLimitResponse.OVER_LIMIT


async def until_over(asking, customer, most=100):
    for number in range(most):
        response = await asking.ask(customer)
        if response.overall_code == OVER:
            return number, response
    raise AssertionError("never over its limit")

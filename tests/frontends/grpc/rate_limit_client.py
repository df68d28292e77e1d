"""Test helper: a gRPC listener on a gateway, and a grpcio client with the published messages."""

import grpc
import pytest
from envoy.service.ratelimit.v3 import rls_pb2 as pb
from gateway_harness import SETTINGS

from apigateway.frontends.grpc.frontend import GrpcFrontend
from apigateway.frontends.grpc.mapping import DescriptorMapping, MappingRule
from apigateway.frontends.grpc.service import SHOULD_RATE_LIMIT_PATH, RateLimitService, ServiceSettings

GATEWAY_SETTINGS = SETTINGS | {
    "plans": [*SETTINGS["plans"], {"name": "quota", "rate": 0.01, "most_at_once": 20.0}]
}
CUSTOMER_A, CUSTOMER_B, CUSTOMER_C = "00000000000000aa", "00000000000000bb", "00000000000000cc"


class RateLimitClient:
    """A gRPC listener on a gateway and a client connected to it."""

    def __init__(self, harness, spread=1, **service_settings):
        core = harness.server.core
        self.frontend = GrpcFrontend(core, ("127.0.0.1", 0), 50)
        rules = [
            MappingRule("payroll", ("account",), "{account}", "quota", "read", gateway_spread=spread),
            MappingRule("payroll", ("account", "plan"), "{account}", "{plan}", "read"),
            MappingRule("payroll", ("account", "cost=two"), "{account}", "quota", "read", units_per_hit=2.0),
        ]
        mapping = DescriptorMapping(
            rules, core.settings.plans, core.settings.classes, core.settings.gateway_count
        )
        self.service = RateLimitService(
            core, self.frontend, ServiceSettings(mapping, **{"max_timeout": 2.0, **service_settings})
        )
        self.frontend.set_methods({SHOULD_RATE_LIMIT_PATH: self.service.should_rate_limit})

    async def __aenter__(self):
        await self.frontend.listen()
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{self.frontend.port}")
        self.call = self.channel.unary_unary(
            SHOULD_RATE_LIMIT_PATH, pb.RateLimitRequest.SerializeToString, pb.RateLimitResponse.FromString
        )
        return self

    async def check(self, *descriptors, hits=0, timeout=5.0, domain="payroll"):
        """Call ShouldRateLimit.

        A descriptor is a customer or a dict of entries, which may contain `hits` and `limit` of its own.
        """
        request = pb.RateLimitRequest(domain=domain, hits_addend=hits)
        for descriptor in descriptors:
            entries = {"account": descriptor} if isinstance(descriptor, str) else dict(descriptor)
            request_descriptor = request.descriptors.add()
            if (own_hits := entries.pop("hits", None)) is not None:
                request_descriptor.hits_addend.value = own_hits
            if (limit := entries.pop("limit", None)) is not None:
                request_descriptor.limit.requests_per_unit, request_descriptor.limit.unit = limit
            for key, value in entries.items():
                request_descriptor.entries.add(key=key, value=value)
        return await self.call(request, timeout=timeout)

    async def check_error_code(self, *descriptors, **check_options):
        with pytest.raises(grpc.aio.AioRpcError) as raised:
            await self.check(*descriptors, **check_options)
        return raised.value.code()

    async def __aexit__(self, *_):
        await self.channel.close()
        self.frontend.start_draining()
        self.frontend.close()


def codes(response):
    return [status.code for status in response.statuses]


OK, OVER_LIMIT = pb.RateLimitResponse.OK, pb.RateLimitResponse.OVER_LIMIT


async def check_until_over_limit(client, customer, max_checks=100):
    for granted_count in range(max_checks):
        response = await client.check(customer)
        if response.overall_code == OVER_LIMIT:
            return granted_count, response
    raise AssertionError("the customer never exceeded its limit")

"""Test helper: a gateway process with a gRPC listener for the rate limit service."""

import signal

import grpc
from envoy.service.ratelimit.v3 import rls_pb2 as pb
from local_deployment import LocalDeployment, free_port

RATE_LIMIT_SERVICE = "envoy.service.ratelimit.v3.RateLimitService"
RULE = """[[ratelimit.rules]]
domain = "roster"
entries = ["customer", "plan"]
customer = "{customer}"
plan = "{plan}"
class = "read"
"""
QUOTA = "[plans.quota]\nrate = 0.05\nburst = 10.0\n"
CUSTOMER = "00000000000000aa"
OK, OVER_LIMIT = pb.RateLimitResponse.OK, pb.RateLimitResponse.OVER_LIMIT


class GrpcDeployment(LocalDeployment):
    """A local deployment whose gateway also has a gRPC listener."""

    def __init__(self, path, rules=RULE, **deployment_options):
        super().__init__(path, **deployment_options)
        self.grpc_port, self.rules = free_port(), rules

    def write_settings(self, ports=None, rules=None, **tables):
        super().write_settings(ports, **tables)
        text = self.settings_file.read_text()
        listener = f'[[listeners]]\nprotocol = "grpc"\naddress = "127.0.0.1:{self.grpc_port}"\n'
        self.settings_file.write_text(listener + text + QUOTA + (rules or self.rules))

    def channel(self, credentials=None, name=None):
        target = f"127.0.0.1:{self.grpc_port}"
        if credentials is None:
            return grpc.aio.insecure_channel(target)
        options = [("grpc.ssl_target_name_override", name)] if name else []
        return grpc.aio.secure_channel(target, credentials, options)

    async def check(
        self, channel, customer=CUSTOMER, plan="quota", timeout=5.0, limit=None, **request_fields
    ):
        call = channel.unary_unary(
            f"/{RATE_LIMIT_SERVICE}/ShouldRateLimit",
            pb.RateLimitRequest.SerializeToString,
            pb.RateLimitResponse.FromString,
        )
        request = pb.RateLimitRequest(domain="roster", **request_fields)
        descriptor = request.descriptors.add()
        for key, value in (("customer", customer), ("plan", plan)):
            descriptor.entries.add(key=key, value=value)
        if limit is not None:
            descriptor.limit.requests_per_unit, descriptor.limit.unit = limit
        return await call(request, timeout=timeout)

    async def reload(self, program):
        program.send_signal(signal.SIGHUP)
        return await self.wait_for_log_line(program, b"reload:")

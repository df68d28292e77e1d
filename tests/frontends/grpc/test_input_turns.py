"""Tests of gRPC connections that wait for their turn of the event loop."""

import asyncio

from gateway_harness import EmulatedHost, GatewayHarness, run_on_uvloop
from hyperframe.frame import PingFrame
from rate_limit_client import CUSTOMER_A, GATEWAY_SETTINGS, OK, RateLimitClient
from raw_client import RawClient

from apigateway.core import input_scheduler
from apigateway.frontends.read_buffer import READ_BYTES

PING_COUNT = 20_000


# Guards against a client's frames of nine bytes and more that hold up all other connections.
@run_on_uvloop
async def test_check_when_another_client_floods_frames_then_it_is_answered_before_they_are_handled(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(input_scheduler, "IMMEDIATE_TIME_S", -1.0)  # all input is queued
    monkeypatch.setattr(input_scheduler, "TURN_TIME_S", 1e-9)  # one slice in each turn
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path, settings=GATEWAY_SETTINGS) as harness,
        RateLimitClient(harness) as client,
    ):
        assert (await client.check(CUSTOMER_A)).overall_code == OK
        flooder = RawClient()
        await flooder.connect(client.frontend.port)
        flooder.writer.write(PingFrame(0, opaque_data=b"12345678").serialize() * PING_COUNT)
        while not harness.server.core.input_scheduler.queue_length:
            await asyncio.sleep(0)
        assert (await client.check(CUSTOMER_A)).overall_code == OK
        assert client.frontend.has_unread_requests  # the flood is not handled yet
        assert all(len(one._received) <= READ_BYTES for one in client.frontend.connections)
        flooder.writer.transport.abort()

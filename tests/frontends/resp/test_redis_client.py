"""Tests with a standard Redis client, which operators are likely to try first."""

import pytest
import redis.asyncio as redis
from gateway_harness import EmulatedHost, GatewayHarness, run_on_uvloop
from redis.exceptions import BusyLoadingError, ResponseError

FIELDS = "c=read,t=p,d=3000,units=1,spread=1,first=0"


def redis_client(harness):
    return redis.Redis(host="127.0.0.1", port=harness.port, protocol=2)


@run_on_uvloop
async def test_standard_client_is_served(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path) as harness,
        redis_client(harness) as client,
    ):
        assert await client.ping()
        for n in range(3):
            assert await client.execute_command("API.READ", "00000000000000ff", f"r{n}", FIELDS) == b"value"
        assert len(host.commands) == 3


@run_on_uvloop
async def test_standard_client_raises_errors_for_rejections_and_failures(tmp_path):
    async with (
        EmulatedHost(b"-ERR failed\r\n") as host,
        GatewayHarness(host, path=tmp_path) as harness,
        redis_client(harness) as client,
    ):
        with pytest.raises(ResponseError, match="failed"):
            await client.execute_command(
                "API.WRITE", "00000000000000ff", "r1", FIELDS.replace("c=read", "c=note"), b"body\r\n\0"
            )
        small_plan_fields = FIELDS.replace("t=p", "t=small")
        host.answer = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
        with pytest.raises((ResponseError, BusyLoadingError), match="BUSY"):
            for n in range(5):
                await client.execute_command("API.READ", "00000000000000ee", f"s{n}", small_plan_fields)
        with pytest.raises(ResponseError, match="unknown command"):
            await client.set("a", "b")

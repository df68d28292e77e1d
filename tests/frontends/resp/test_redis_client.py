"""A client that others wrote speaks to the front: what an operator types first."""

import pytest
import redis.asyncio as redis
from gateway_harness import EmulatedHost, GatewayHarness, run_on_uvloop
from redis.exceptions import BusyLoadingError, ResponseError

TERMS = "c=read,t=p,d=3000,units=1,spread=1,first=0"


def client(harness):
    return redis.Redis(host="127.0.0.1", port=harness.port, protocol=2)


@run_on_uvloop
async def test_a_common_client_is_served(tmp_path):
    async with (
        EmulatedHost() as host,
        GatewayHarness(host, path=tmp_path) as harness,
        client(harness) as outside,
    ):
        assert await outside.ping()
        for n in range(3):
            assert await outside.execute_command("API.READ", "00000000000000ff", f"r{n}", TERMS) == b"value"
        assert len(host.commands) == 3


@run_on_uvloop
async def test_it_hears_refusals_and_failures_as_errors(tmp_path):
    async with (
        EmulatedHost(b"-ERR failed\r\n") as host,
        GatewayHarness(host, path=tmp_path) as harness,
        client(harness) as outside,
    ):
        with pytest.raises(ResponseError, match="failed"):
            await outside.execute_command(
                "API.WRITE", "00000000000000ff", "r1", TERMS.replace("c=read", "c=note"), b"body\r\n\0"
            )
        small = TERMS.replace("t=p", "t=small")
        host.answer = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
        with pytest.raises((ResponseError, BusyLoadingError), match="BUSY"):
            for n in range(5):
                await outside.execute_command("API.READ", "00000000000000ee", f"s{n}", small)
        with pytest.raises(ResponseError, match="unknown command"):
            await outside.set("a", "b")

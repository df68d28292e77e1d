"""Tests of the RESP2 server: idle connections, clients that do not read responses, and limits."""

import asyncio
import contextlib
import tracemalloc

import pytest
from gateway_harness import (
    VALUE,
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    raise_capacity_estimate,
    read_reply,
    run_on_uvloop,
)

from apigateway.frontends.resp import server as resp_server
from apigateway.upstream import framing
from apigateway.upstream.framing import MAX_BODY_BYTES

WRITE_FIELDS = b"c=write,t=p,d=3000,k=77,units=1,spread=1,first=0"
MAX_READ_BYTES = 256 * 1024  # that the event loop reads at once


@pytest.mark.parametrize(
    "sent, expected_reply", [(b"", b""), (b"*4\r\n$8\r\nAPI.R", b"-ERR"), (b"*1\r\n$4\r\nPING\r\n", b"+PONG")]
)
@run_on_uvloop
async def test_connection_without_a_request_is_closed_after_the_idle_timeout(
    sent, expected_reply, tmp_path, monkeypatch
):
    monkeypatch.setattr(resp_server, "IDLE_TIMEOUT_S", 0.1)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(sent)
        assert (await read_reply(reader)).startswith(expected_reply)
        assert await reader.read() == b""
        while harness.server.frontends[0].server.connections:
            await asyncio.sleep(0.01)
        server = harness.server.frontends[0].server
        assert not (server.idle_since or server.closing_since or server.partial_bytes)


@run_on_uvloop
async def test_connection_with_a_pending_request_is_not_idle(tmp_path, monkeypatch):
    monkeypatch.setattr(resp_server, "IDLE_TIMEOUT_S", 0.1)
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        idle, _ = await harness.connect()
        writer.write(make_command())
        await host.arrivals.get()
        assert await idle.read() == b""  # closed by a later timeout check
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == VALUE_REPLY


@run_on_uvloop
async def test_client_that_does_not_read_responses_is_disconnected(tmp_path, monkeypatch):
    monkeypatch.setattr(resp_server, "WRITE_BLOCKED_TIMEOUT_S", 0.1)
    async with EmulatedHost(b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60000)) as host:
        async with GatewayHarness(host, path=tmp_path) as harness:
            _, writer = await harness.connect()
            writer.transport.pause_reading()
            with contextlib.suppress(ConnectionError):
                for n in range(400):
                    writer.write(make_command(b"r%d" % n))
                    await writer.drain()
            while harness.server.frontends[0].server.connections:
                await asyncio.sleep(0.01)
            assert not (harness.server.core.in_flight or harness.server.core.body_budget.used)


@run_on_uvloop
async def test_connection_limit_evicts_the_longest_idle_connection_or_rejects_the_new_one(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        harness.server.frontends[0].server.max_connections = 2
        raise_capacity_estimate(harness)
        first, _ = await harness.connect()
        busy = []
        for n in range(2):
            reader, writer = await harness.connect()
            writer.write(make_command(b"r%d" % n))
            await host.arrivals.get()
            busy.append(reader)
        assert await first.read() == b""
        last, _ = await harness.connect()
        assert (await read_reply(last)).startswith(b"-ERR too many") and await last.read() == b""
        for writer in host.writers:
            writer.write(VALUE)
        assert [await read_reply(reader) for reader in busy] == [VALUE_REPLY, VALUE_REPLY]


@run_on_uvloop
async def test_total_size_of_partial_commands_is_bounded(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        harness.server.frontends[0].server.max_partial_bytes = 100_000
        readers = []
        for _ in range(3):
            reader, writer = await harness.connect()
            writer.write(b"*5\r\n$60000\r\n" + b"x" * 40_000)
            readers.append(asyncio.create_task(read_reply(reader)))
        done, _ = await asyncio.wait(readers, return_when=asyncio.FIRST_COMPLETED)
        assert [task.result() for task in done] == [b"-ERR too much in work\r\n"]
        assert await harness.send_command(make_command()) == VALUE_REPLY


# Guards against bodies that no limit counts: those of requests whose responses wait for an earlier one.
@run_on_uvloop
async def test_bodies_are_released_while_responses_wait_for_their_turn(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command(b"first"))
        await host.arrivals.get()
        host.answer = VALUE
        count = 200
        tracemalloc.start()
        try:
            body = b"x" * MAX_BODY_BYTES
            for number in range(count):
                writer.write(make_command(b"w%d" % number, WRITE_FIELDS, b"API.WRITE", body=body))
            (connection,) = harness.server.frontends[0].server.connections
            while sum(slot.response is not None for slot in connection.pending_slots) < count:
                await asyncio.sleep(0)
            parsed = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, framing.__file__)])
            held_bytes = sum(trace.size for trace in parsed.traces)
        finally:
            tracemalloc.stop()
        # What the limits count, and what was read at once.
        assert held_bytes < harness.server.core.body_budget.used + connection.partial_bytes + MAX_READ_BYTES
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == VALUE_REPLY

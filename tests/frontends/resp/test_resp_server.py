"""Tests of the RESP2 server: idle connections, clients that do not read responses, and limits."""

import asyncio
import contextlib
import socket
import time
import tracemalloc

import pytest
from gateway_harness import (
    PING,
    VALUE,
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_fields,
    raise_capacity_estimate,
    read_reply,
    run_on_uvloop,
)

from apigateway.emulators.resp import fields
from apigateway.frontends.resp import server as resp_server
from apigateway.frontends.resp.server import CONNECTION_BYTES
from apigateway.upstream import framing
from apigateway.upstream.framing import MAX_BODY_BYTES

WRITE_FIELDS = b"c=write,t=p,d=3000,k=77,units=1,spread=1,first=0"
DEADLINE_SLACK_S = 0.15  # by the platform's page
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
            assert not (harness.server.core.in_flight or harness.server.core.memory_budget.used)


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
        assert held_bytes < harness.server.core.memory_budget.used + MAX_READ_BYTES
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == VALUE_REPLY


LARGE_VALUE = b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60_000)


# Guards against responses that no limit counts: those that wait behind an unanswered command.
@run_on_uvloop
async def test_values_that_wait_for_their_turn_are_dropped_as_failed_beyond_the_memory(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        core, limit = harness.server.core, 1_000_000
        core.memory_budget.limit = limit
        raise_capacity_estimate(harness)
        reader, writer = await harness.connect()
        writer.write(make_command(b"first"))
        await host.arrivals.get()
        host.answer = LARGE_VALUE
        count = 40
        for number in range(count):
            writer.write(make_command(b"r%d" % number))
        (connection,) = harness.server.frontends[0].server.connections
        while sum(slot.response is not None for slot in connection.pending_slots) < count:
            assert core.memory_budget.used <= limit + len(LARGE_VALUE)
            await asyncio.sleep(0)
        assert core.memory_budget.used >= sum(len(slot.response or b"") for slot in connection.pending_slots)
        host.writers[0].write(VALUE)
        replies = [await read_reply(reader) for _ in range(count + 1)]
        assert replies[0] == VALUE_REPLY and b"-ERR failed\r\n" in replies
        assert any(len(reply) > 60_000 for reply in replies)
        assert set(reply[:1] for reply in replies) <= {b"$", b"-"}
        while core.memory_budget.used != CONNECTION_BYTES:
            await asyncio.sleep(0)


# Guards against responses that are passed to the transport without a limit while the client does not read.
@run_on_uvloop
async def test_responses_wait_while_the_client_does_not_read_and_come_in_order(tmp_path):
    async with EmulatedHost(LARGE_VALUE) as host, GatewayHarness(host, path=tmp_path) as harness:
        core = harness.server.core
        raise_capacity_estimate(harness)
        reader, writer = await harness.connect()
        writer.transport.pause_reading()
        sent = 0
        while not harness.server.frontends[0].server.write_blocked_since:
            writer.write(make_command(b"r%d" % sent, customer=b"%016x" % sent))
            sent += 1
            for _ in range(10):
                await asyncio.sleep(0)
        (connection,) = harness.server.frontends[0].server.connections
        assert connection.is_read_paused
        assert connection.transport.get_write_buffer_size() <= 2 * len(LARGE_VALUE)
        writer.transport.resume_reading()
        replies = [await read_reply(reader) for _ in range(sent)]
        assert all(reply[:1] in b"$-" for reply in replies)
        while core.memory_budget.used != CONNECTION_BYTES:
            await asyncio.sleep(0)


# Guards against one connection that takes the memory of all: its commands are not read beyond its share.
@run_on_uvloop
async def test_connection_with_large_commands_is_not_read_beyond_its_share(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        server, core = harness.server.frontends[0].server, harness.server.core
        core.memory_budget.limit = 10_000_000
        raise_capacity_estimate(harness)
        _, writer = await harness.connect()
        body = b"x" * MAX_BODY_BYTES
        for number in range(100):
            writer.write(make_command(b"w%d" % number, WRITE_FIELDS, b"API.WRITE", body=body))
        while not server.connections:
            await asyncio.sleep(0)
        (connection,) = server.connections
        while connection.request_bytes <= server.max_connection_bytes:
            await asyncio.sleep(0)
        assert connection.is_read_paused
        assert connection.request_bytes <= server.max_connection_bytes + framing.MAX_MESSAGE_BYTES
        assert await harness.send_command(b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"


# Guards against connections without a limit, since one that has ended is evicted for each new one.
@run_on_uvloop
async def test_connection_limit_holds_after_clients_left_with_responses_on_the_way(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        server = harness.server.frontends[0].server
        server.max_connections = 4
        _, writer = await harness.connect()
        while not server.connections:
            await asyncio.sleep(0)
        (connection,) = server.connections
        writer.transport.abort()
        while server.connections:
            await asyncio.sleep(0)
        connection.flush()  # as when a response comes after the end of its connection
        assert not server.closing_since
        connections = [await harness.connect() for _ in range(12)]
        for reader, writer in connections[-2:]:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            assert (await read_reply(reader))[:1] in b"+-"
        assert len(server.connections) <= 4


# Guards against a request that waited in the queue of a passed socket and has its time counted from its read.
@run_on_uvloop
async def test_request_that_waited_for_the_process_to_accept_has_the_time_left(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            with socket.create_connection(listener.getsockname()) as client:
                client.send(make_command(fields=make_fields(d="2000")))
                sent_at = time.monotonic()
                await asyncio.sleep(0.4)  # the process that accepts is not there yet
                server = harness.server.frontends[0].server
                await server._listener.open(listener.getsockname(), listener.dup())
                command = await host.arrivals.get()
                assert time.monotonic() + int(fields(command)["d"]) / 1000 <= sent_at + 2.0 + DEADLINE_SLACK_S


# Guards against an error that is written after the connection's sending side was closed in a shutdown.
@run_on_uvloop
async def test_invalid_input_behind_a_command_when_draining_then_both_are_answered(tmp_path, caplog):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(PING[:-3])
        server = harness.server.frontends[0].server
        while not server.partial_bytes:
            await asyncio.sleep(0.005)
        harness.server.frontends[0].start_draining()
        writer.write(PING[-3:] + b"?\r\n")
        assert await reader.read() == b"+PONG\r\n-ERR protocol error\r\n"
        assert "Exception" not in caplog.text


async def connect_and_begin_command(harness, server):
    """Return a reader and writer of a connection that was idle for long and has just sent half a command."""
    reader, writer = await harness.connect()
    while not server.connections:
        await asyncio.sleep(0)
    (connection,) = server.connections
    server.idle_since[connection] -= 10.0
    writer.write(make_command()[:20])
    while not connection.partial_bytes:
        await asyncio.sleep(0)
    return reader, writer


# Guards against a connection in the middle of a request that gives way, since it was idle before.
@run_on_uvloop
async def test_connection_that_has_begun_a_command_when_a_new_one_comes_then_it_stays(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        server = harness.server.frontends[0].server
        reader, writer = await connect_and_begin_command(harness, server)
        server.max_connections = 1
        new, _ = await harness.connect()
        assert (await read_reply(new)).startswith(b"-ERR too many")
        writer.write(make_command()[20:])
        assert await read_reply(reader) == VALUE_REPLY


# Guards against a command that gets too little time to be finished, since its connection was idle before.
@run_on_uvloop
async def test_command_that_has_begun_when_its_connection_was_idle_then_it_has_its_time(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        server = harness.server.frontends[0].server
        reader, writer = await connect_and_begin_command(harness, server)
        server._sweep()
        writer.write(make_command()[20:])
        assert await read_reply(reader) == VALUE_REPLY

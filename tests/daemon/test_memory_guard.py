"""The guard of the process's memory, with a leak that the test makes: bytes that no account counts."""

import asyncio
import contextlib

import pytest
from gateway_harness import (
    PING,
    VALUE,
    VALUE_REPLY,
    DeferredReplyHost,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_write_command,
    raise_capacity_estimate,
    read_reply,
    run_on_uvloop,
)

from apigateway.core.budget import Budget
from apigateway.core.memory_pressure import STAGE_SHARES, PressureStage
from apigateway.daemon import memory_guard
from apigateway.daemon.memory_guard import MemoryGuard
from apigateway.daemon.process_size import ProcessSize, find_trim

START_SHARE = 0.45  # of the limit
ABOVE_SHARE = 0.02
PARTIAL_ERROR = b"-ERR too much in work\r\n"


@contextlib.asynccontextmanager
async def guarded(harness):
    """Guard the test's process with a limit of twice its size; yield the guard and a function that leaks."""
    server = harness.server
    server.memory_guard.stop()
    limit_bytes = int(ProcessSize().read() / START_SHARE)
    table = server.core.in_flight_table
    guard = MemoryGuard(
        limit_bytes,
        server.core.memory_budget,
        lambda: server.frontends,
        table.set_rejecting,
        ProcessSize(),
        find_trim(),
    )
    guard.start()
    leaks = []

    async def reach(stage):
        target_bytes = int((STAGE_SHARES[stage] + ABOVE_SHARE) * limit_bytes)
        while guard.pressure.stage < stage:
            missing_bytes = target_bytes - ProcessSize().read()
            if missing_bytes > 0:
                leaks.append(bytearray(b"x") * missing_bytes)
            await asyncio.sleep(0.005)

    async def release():
        leaks.clear()
        while guard.pressure.stage > PressureStage.NORMAL:
            await asyncio.sleep(0.005)

    try:
        yield guard, reach, release
    finally:
        guard.stop()


# Guards against memory that no account counts: each stage is entered by it, and left again.
@pytest.mark.parametrize("stage", STAGE_SHARES)
@run_on_uvloop
async def test_requests_when_the_process_grows_by_what_nothing_counts_then_are_answered_at_every_stage(
    stage, tmp_path
):
    async with DeferredReplyHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        raise_capacity_estimate(harness)
        async with guarded(harness) as (guard, reach, release):
            reader, writer = await harness.connect()
            writer.write(make_command(b"accepted"))
            await host.arrivals.get()
            await reach(stage)
            writer.write(make_command(b"next"))
            host.release(VALUE)
            assert await read_reply(reader) == VALUE_REPLY
            reply = await read_reply(reader)
            is_rejected = stage >= PressureStage.REJECT
            assert reply.startswith(b"-BUSY") if is_rejected else reply == VALUE_REPLY
            await release()
            assert await harness.send_command(make_command(b"later")) == VALUE_REPLY


# Guards against partial commands that stay while the process nears its limit: they get the protocol's error.
@run_on_uvloop
async def test_partial_command_when_the_largest_are_closed_then_gets_an_error(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        async with guarded(harness) as (guard, reach, release):
            small_reader, small_writer = await harness.connect()
            small_writer.write(PING[:-3])
            reader, writer = await harness.connect()
            writer.write(make_command(b"w", body=bytes(60_000), verb=b"API.WRITE")[:-10])
            await reach(PressureStage.CLOSE_LARGEST)
            assert await read_reply(reader) == PARTIAL_ERROR
            small_writer.write(PING[-3:])
            assert await read_reply(small_reader) == b"+PONG\r\n"
            await release()


# Guards against connections that are accepted or closed with an error while there is no memory for them.
@run_on_uvloop
async def test_new_connection_when_requests_are_rejected_then_waits_until_the_memory_is_back(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        async with guarded(harness) as (guard, reach, release):
            await reach(PressureStage.REJECT)
            server = harness.server.frontends[0].server
            before = len(server.connections)
            reader, writer = await harness.connect()
            writer.write(PING)
            while not server.has_pending_connections:
                await asyncio.sleep(0.005)
            assert len(server.connections) == before
            await release()
            assert await read_reply(reader) == b"+PONG\r\n"


# Guards against connections that wait in the queue of a gateway that ends while its memory is short.
@run_on_uvloop
async def test_connection_that_waits_when_the_guard_stops_then_is_accepted(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        async with guarded(harness) as (guard, reach, release):
            await reach(PressureStage.REJECT)
            reader, writer = await harness.connect()
            writer.write(PING)
            guard.stop()
            assert await read_reply(reader) == b"+PONG\r\n"


@run_on_uvloop
async def test_idle_connections_when_memory_is_nearly_used_up_then_are_closed(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        async with guarded(harness) as (guard, reach, release):
            idle_reader, _ = await harness.connect()
            reader, writer = await harness.connect()
            writer.write(make_write_command(b"accepted"))
            await host.arrivals.get()
            await reach(PressureStage.CLOSE_IDLE)
            assert await idle_reader.read() == b""
            host.writers[0].write(VALUE)
            assert await read_reply(reader) == VALUE_REPLY
            await release()


class FixedSize:
    """A process that grows at its second reading, by what no trim returns."""

    def __init__(self):
        self.sizes = [100_000_000, 120_000_000]

    def read(self):
        return self.sizes.pop(0) if len(self.sizes) > 1 else self.sizes[0]


# Guards against a heap that is trimmed again and again although that returns nothing.
@run_on_uvloop
async def test_trim_when_it_returned_nothing_then_it_is_not_repeated(monkeypatch):
    monkeypatch.setattr(memory_guard, "TRIM_INTERVAL_S", 0.0)
    trims, readings = [], asyncio.Queue()
    size = FixedSize()

    def read():
        readings.put_nowait(None)
        return FixedSize.read(size)

    size.read = read
    guard = MemoryGuard(
        1_000_000_000, Budget(1000.0), lambda: [], lambda _: None, size, lambda: trims.append(1)
    )
    guard.start()
    for _ in range(8):
        await readings.get()
    guard.stop()
    assert len(trims) == 1


class UnreadableSize:
    def read(self):
        return None


@run_on_uvloop
async def test_guard_when_the_size_cannot_be_read_then_says_so_once_and_serves(tmp_path, caplog):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        core = harness.server.core
        guard = MemoryGuard(1, core.memory_budget, lambda: [], lambda _: None, UnreadableSize(), None)
        guard.start()
        assert await harness.send_command(make_command(b"r")) == VALUE_REPLY
        assert caplog.text.count("cannot be read") == 1
        guard.stop()


def test_size_when_the_file_is_missing_or_odd_then_is_not_known(tmp_path):
    assert ProcessSize(str(tmp_path / "none")).read() is None
    (tmp_path / "odd").write_text("x")
    assert ProcessSize(str(tmp_path / "odd")).read() is None
    assert ProcessSize().read() > 0


@run_on_uvloop
async def test_guard_when_the_process_is_larger_than_its_limit_at_the_start_then_says_so_and_serves(
    tmp_path, caplog
):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        server = harness.server
        table = server.core.in_flight_table
        guard = MemoryGuard(
            1000,
            server.core.memory_budget,
            lambda: server.frontends,
            table.set_rejecting,
            ProcessSize(),
            None,
        )
        guard.start()
        assert await harness.send_command(make_command(b"r")) == VALUE_REPLY
        assert "larger than its memory limit" in caplog.text
        guard.stop()

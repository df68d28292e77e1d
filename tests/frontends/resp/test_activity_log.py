"""What the log tells of clients that hold the gateway up or misuse it."""

import asyncio
import logging

from gateway_harness import EmulatedHost, GatewayHarness, make_command, read_reply, run_on_uvloop

from apigateway.core import input_scheduler
from apigateway.core.executed_requests import MAX_IDS
from apigateway.frontends.resp import activity_log
from apigateway.frontends.resp.command import MAX_CACHED_FIELDS
from apigateway.frontends.resp.server import CONNECTION_BYTES

FLOOD_SIZE = 2000


async def send_and_read(reader, writer, commands):
    writer.write(b"".join(commands))
    return [await read_reply(reader) for _ in commands]


@run_on_uvloop
async def test_flood_when_it_ends_then_a_line_names_its_connection_and_what_was_refused(
    tmp_path, monkeypatch, caplog
):
    monkeypatch.setattr(activity_log, "REPORT_INTERVAL_S", 0.0)
    monkeypatch.setattr(input_scheduler, "IMMEDIATE_TIME_S", -1.0)  # all input is queued
    caplog.set_level(logging.WARNING)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        commands = [make_command(b"r%d" % n, b"c=class%d,t=p" % n) for n in range(FLOOD_SIZE)]
        await send_and_read(reader, writer, commands)
        host_name, port = writer.get_extra_info("sockname")
        while not caplog.records:
            await asyncio.sleep(0.01)
        line = caplog.records[0].getMessage()
        assert f"for connection 1 of {host_name}:{port}" in line
        assert "input put back" in line and "turns late by up to" in line and "missing or odd field" in line
        assert "class17" not in line


@run_on_uvloop
async def test_half_command_when_it_is_not_finished_then_a_line_tells_why_its_connection_is_closed(
    tmp_path, monkeypatch, caplog
):
    monkeypatch.setattr(activity_log, "REPORT_INTERVAL_S", 0.0)
    monkeypatch.setattr("apigateway.frontends.resp.server.IDLE_TIMEOUT_S", 0.1)
    caplog.set_level(logging.WARNING)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(make_command()[:20])
        assert (await read_reply(reader)).startswith(b"-ERR")
        while not any("1 command not finished in time" in line.getMessage() for line in caplog.records):
            await asyncio.sleep(0.01)


# Guards against tables that grow with names that clients make up.
@run_on_uvloop
async def test_tables_when_every_name_is_new_then_they_stay_within_their_limits(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        core, frontend = harness.server.core, harness.server.frontends[0]
        reader, writer = await harness.connect()
        for batch in range(4):
            numbers = range(batch * FLOOD_SIZE, (batch + 1) * FLOOD_SIZE)
            commands = [
                make_command(
                    b"r%d" % n,
                    b"c=read,t=p,d=%d,units=1,spread=1,first=0" % (3000 + n),
                    customer=b"%016x" % n,
                )
                for n in numbers
            ]
            await send_and_read(reader, writer, commands)
        module = core.module
        assert len(frontend._fields_cache) <= MAX_CACHED_FIELDS
        assert len(module.quotas) <= core.settings.max_customers < 4 * FLOOD_SIZE
        assert len(core.in_flight_table.executed) <= MAX_IDS
        assert not (module.pending or core.in_flight)
        assert core.memory_budget.used == CONNECTION_BYTES

"""Test how a gateway completes its requests at a shutdown while clients send on."""

import asyncio
from dataclasses import replace

from gateway_harness import (
    VALUE,
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    read_reply,
    run_on_uvloop,
)

from apigateway import messages
from apigateway.frontends.resp.client_connection import MAX_PENDING_COMMANDS

PING = b"*1\r\n$4\r\nPING\r\n"
BUSY_REPLY = b"-BUSY\r\n"


def end_acceptance_at_once(harness):
    """Let the gateway have no more time to end than the longest request may take."""
    classes = harness.server.core.settings.classes.values()
    longest_deadline = max(service_class.deadline for service_class in classes)
    harness.server.config = replace(harness.server.config, shutdown_timeout=longest_deadline)


def record_module_events(harness):
    """Return a list that gets each event that the decision module handles from now on."""
    module, events = harness.server.core.module, []
    handle = module.handle
    module.handle = lambda now, event: events.append(event) or handle(now, event)
    return events


class DrainStart:
    """Signals when the gateway begins to wait for the requests in flight."""

    def __init__(self, harness):
        self.begun = asyncio.Event()
        table = harness.server.core.in_flight_table
        self._wait_until_drained = table.wait_until_drained
        table.wait_until_drained = self._on_wait

    async def _on_wait(self, seconds):
        self.begun.set()
        return await self._wait_until_drained(seconds)


async def leave_command_unread(harness, host):
    """Send as many commands as a connection may have pending, then one that stays unread in the socket.

    The first one, a request, is at the host, and the PINGs behind it wait for its response. The gateway has
    an idle connection to the host, on which it could forward at once. Returns the reader.
    """
    other_reader, other_writer = await harness.connect()
    other_writer.write(make_command(b"other"))
    await host.arrivals.get()
    reader, writer = await harness.connect()
    writer.write(make_command(b"first"))
    await host.arrivals.get()
    host.writers[0].write(VALUE)
    assert await read_reply(other_reader) == VALUE_REPLY
    other_writer.close()
    writer.write(PING * MAX_PENDING_COMMANDS)
    connections = harness.server.frontends[0].server.connections
    while not any(connection.is_read_paused for connection in connections):
        await asyncio.sleep(0)
    (connection,) = (connection for connection in connections if connection.is_read_paused)
    writer.write(make_command(b"last"))
    while not connection.has_unread_data():
        await asyncio.sleep(0)
    return reader


# Guards against requests that are read once the drain is over, forwarded, and lost at the exit.
@run_on_uvloop
async def test_request_read_after_the_drain_is_over_is_rejected_and_not_forwarded(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        harness.server.config = replace(harness.server.config, shutdown_timeout=0.4)
        reader = await leave_command_unread(harness, host)
        await harness.server.stop(0.0)
        replies = [await read_reply(reader) for _ in range(MAX_PENDING_COMMANDS + 2)]
        assert replies[0] == b"-ERR failed\r\n" and replies[-1] == BUSY_REPLY
        assert await read_reply(reader) == b""
        assert [command[2] for command in host.commands] == [b"other", b"first"]


# Guards against requests that are read after the last one in flight is answered, and lost at the exit.
@run_on_uvloop
async def test_request_read_after_the_last_response_is_rejected_before_the_exit(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        end_acceptance_at_once(harness)
        reader = await leave_command_unread(harness, host)
        module_events = record_module_events(harness)
        drain = DrainStart(harness)
        stop_task = asyncio.create_task(harness.server.stop(0.0))
        await drain.begun.wait()
        host.writers[1].write(VALUE)
        await stop_task
        replies = [await read_reply(reader) for _ in range(MAX_PENDING_COMMANDS + 2)]
        assert replies[0] == VALUE_REPLY and replies[-1] == BUSY_REPLY
        assert await read_reply(reader) == b""
        assert not any(isinstance(event, messages.Request) for event in module_events)


# Guards against a shutdown that accepts requests until its end, when it has to fail them.
@run_on_uvloop
async def test_requests_on_a_busy_connection_are_rejected_once_there_is_no_time_for_any_request(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        end_acceptance_at_once(harness)
        reader, writer = await harness.connect()
        writer.write(make_command(b"first"))
        await host.arrivals.get()
        drain = DrainStart(harness)
        stop_task = asyncio.create_task(harness.server.stop(0.0))
        await drain.begun.wait()
        writer.write(make_command(b"second"))  # the connection is busy, so it is still read
        (connection,) = harness.server.frontends[0].server.connections
        while len(connection.pending_slots) < 2:
            await asyncio.sleep(0)
        host.writers[0].write(VALUE)
        assert [await read_reply(reader) for _ in range(3)] == [VALUE_REPLY, BUSY_REPLY, b""]
        await stop_task
        assert [command[2] for command in host.commands] == [b"first"]

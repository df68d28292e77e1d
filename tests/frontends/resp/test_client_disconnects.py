"""Tests of clients that disconnect before they have received all responses."""

import asyncio
import contextlib
import socket

import pytest
from gateway_harness import (
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_fields,
    run_on_uvloop,
)

from apigateway import messages
from apigateway.core import input_scheduler
from apigateway.frontends.resp.client_connection import MAX_PENDING_COMMANDS


@run_on_uvloop
async def test_attempt_is_cancelled_when_its_client_disconnects(tmp_path):
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        _, writer = await harness.connect()
        writer.write(make_command())
        await host.arrivals.get()
        writer.close()
        assert await host.arrivals.get() is None  # the connection to the host was closed
        assert not harness.server.core.in_flight


def record_outcomes(harness):
    """Return a queue of the outcomes of requests from now on, in order."""
    outcomes, responses = asyncio.Queue(), harness.server.core.responses
    finish = responses.finish

    def record(in_flight, outcome, *rest):
        outcomes.put_nowait((in_flight.request_id, outcome))
        finish(in_flight, outcome, *rest)

    responses.finish = record
    return outcomes


@run_on_uvloop
async def test_disconnect_is_detected_while_a_connection_is_not_read(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        _, writer = await harness.connect()
        outcomes, server = record_outcomes(harness), harness.server.frontends[0].server
        writer.write(make_command(b"first", make_fields(d="60000")))
        await host.arrivals.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n" * MAX_PENDING_COMMANDS)  # answered after the first
        while not (
            server.read_paused or server.connections and next(iter(server.connections)).is_read_paused
        ):
            await asyncio.sleep(0)
        writer.write(make_command(b"unread"))
        writer.close()
        assert await outcomes.get() == ("first", "gone")
        while server.connections:
            await asyncio.sleep(0)
        assert (
            not (harness.server.core.in_flight or server.read_paused or server.write_blocked_since)
            and len(host.commands) == 1
        )


@run_on_uvloop
async def test_disconnect_is_detected_while_commands_are_deferred(tmp_path, monkeypatch):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        server, scheduler = harness.server.frontends[0].server, harness.server.core.input_scheduler
        monkeypatch.setattr(input_scheduler, "IMMEDIATE_TIME_S", -1.0)  # all input is queued
        run_turn = scheduler.run_turn
        monkeypatch.setattr(scheduler, "run_turn", lambda: None)  # the test runs the turns
        _, writer = await harness.connect()
        writer.write(make_command(b"gone"))
        while not scheduler.queue_length:
            await asyncio.sleep(0)
        writer.close()
        while server.connections:
            await asyncio.sleep(0.01)
        run_turn()
        monkeypatch.undo()
        assert await harness.send_command(make_command(b"next")) == VALUE_REPLY
        assert [command[2] for command in host.commands] == [b"next"]


@run_on_uvloop
async def test_half_close_of_a_client_that_reads_no_responses_is_a_disconnect(tmp_path):
    async with EmulatedHost(b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60000)) as host:
        async with GatewayHarness(host, path=tmp_path) as harness:
            _, writer = await harness.connect()
            writer.transport.pause_reading()
            outcomes, server = record_outcomes(harness), harness.server.frontends[0].server
            while not server.connections:
                await asyncio.sleep(0)
            (client,) = server.connections
            client.transport.set_write_buffer_limits(high=10**9)  # reading continues despite unread responses
            for n in range(400):
                writer.write(make_command(b"r%d" % n, customer=b"%016x" % n))
                assert await outcomes.get() == (f"r{n}", "served")
                if client.transport.get_write_buffer_size():
                    break
            host.answer = None
            writer.write(make_command(b"last", make_fields(d="60000"), customer=b"%016x" % 999))
            while host.commands[-1][2] != b"last":
                await host.arrivals.get()
            writer.write_eof()
            assert await outcomes.get() == ("last", "gone") and not harness.server.core.in_flight


class ScriptedModule:
    """A decision module that returns fixed actions for each kind of event."""

    def __init__(self, **actions):
        self.actions, self.event_kinds = actions, asyncio.Queue()

    def handle(self, now, event):
        kind = type(event).__name__
        self.event_kinds.put_nowait(kind)
        return list(self.actions.get(kind, ()))


@pytest.mark.parametrize("first", [None, "h1"])
@run_on_uvloop
async def test_waiting_request_is_not_forwarded_after_its_client_disconnects(first, tmp_path):
    """The request waits for the decision module, or between two attempts if the host `first` rejected it."""
    async with (
        EmulatedHost(b"-BUSY\r\n") as first_host,
        EmulatedHost() as second_host,
        GatewayHarness(first_host, second_host, path=tmp_path) as harness,
    ):
        core = harness.server.core
        request_actions = [messages.ForwardRequest("r1", first)] if first else []
        core.module = ScriptedModule(
            Request=request_actions, TimerExpired=[messages.ForwardRequest("r1", "h2")]
        )
        _, writer = await harness.connect()
        writer.write(make_command())
        while await core.module.event_kinds.get() != ("AttemptOutcome" if first else "Request"):
            pass
        writer.close()
        while await core.module.event_kinds.get() != "ClientDisconnected":
            pass
        core.dispatch(messages.TimerExpired(0))  # as if the module had not received the disconnect in time
        assert not core.in_flight and not harness.server.upstream.open_count - len(
            harness.server.upstream.connections
        )
        core.module = ScriptedModule(Request=[messages.ForwardRequest("r2", "h2")])
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY
        assert [command[2] for command in second_host.commands] == [b"r2"]


@run_on_uvloop
async def test_request_waiting_for_a_connection_is_not_forwarded_after_its_client_disconnects(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        core, loop = harness.server.core, asyncio.get_running_loop()
        with socket.socket() as listener, contextlib.ExitStack() as stack:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            queued_sockets = [stack.enter_context(socket.socket()) for _ in range(4)]
            # These fill the accept queue, so that the next connection is established late.
            for sock in queued_sockets:
                sock.setblocking(False)
                sock.connect_ex(listener.getsockname())
            # The first endpoint list would overwrite the address that is set below.
            while not harness.server.endpoint_source.lists_received:
                await asyncio.sleep(0)
            harness.server.upstream.update_endpoint("h1", listener.getsockname())
            harness.server.upstream.connect_timeout = 60.0
            core.module = ScriptedModule(Request=[messages.ForwardRequest("r1", "h1")])
            _, writer = await harness.connect()
            writer.write(make_command())
            while await core.module.event_kinds.get() != "Request":
                pass
            assert harness.server.upstream.pools["h1"].connecting
            writer.close()
            while await core.module.event_kinds.get() != "ClientDisconnected":
                pass
            assert not harness.server.upstream.open_count and not core.in_flight
            listener.setblocking(False)
            for sock in queued_sockets:
                sock.close()
            while True:  # connections that were established carry no data
                try:
                    accepted, _ = listener.accept()
                except BlockingIOError:
                    break
                with accepted:
                    assert await loop.sock_recv(accepted, 100) == b""

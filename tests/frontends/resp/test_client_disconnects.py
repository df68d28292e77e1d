"""Clients that leave while something is still owed to them."""

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
from apigateway.frontends.resp.client_connection import MAX_PENDING_COMMANDS


@run_on_uvloop
async def test_a_client_that_left_has_its_attempt_cancelled(tmp_path):
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        _, writer = await harness.connect()
        writer.write(make_command())
        await host.arrivals.get()
        writer.close()
        assert await host.arrivals.get() is None  # the connection to the host ended
        assert not harness.server.core.in_flight


def record_outcomes(harness):
    """What each request ends with from now on, in order; an event for each."""
    seen, responses = asyncio.Queue(), harness.server.core.responses
    finish = responses.finish

    def noted(work, outcome, *told):
        seen.put_nowait((work.request_id, outcome))
        finish(work, outcome, *told)

    responses.finish = noted
    return seen


@run_on_uvloop
async def test_a_client_that_leaves_while_it_is_not_read_has_left(tmp_path):
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        _, writer = await harness.connect()
        seen, server = record_outcomes(harness), harness.server.frontends[0].server
        writer.write(make_command(b"first", make_fields(d="60000")))
        await host.arrivals.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n" * MAX_PENDING_COMMANDS)  # answered behind the first
        while not (
            server.read_paused or server.connections and next(iter(server.connections)).is_read_paused
        ):
            await asyncio.sleep(0)
        writer.write(make_command(b"unread"))
        writer.close()
        assert await seen.get() == ("first", "gone")
        while server.connections:
            await asyncio.sleep(0)
        assert (
            not (harness.server.core.in_flight or server.read_paused or server.write_blocked_since)
            and len(host.commands) == 1
        )


class BusyAdmission:
    """The loop has always read for long enough in this turn; what waits is gone on with by the test."""

    is_time_slice_used_up, lag = True, 0.0

    def __init__(self):
        self.deferred_connections, self.came = [], asyncio.Event()

    def clock(self):
        self.came.set()
        return 0.0


@run_on_uvloop
async def test_a_client_that_leaves_while_its_commands_wait_their_turn_has_left(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        server = harness.server.frontends[0].server
        server.admission = admission = BusyAdmission()
        _, writer = await harness.connect()
        writer.write(make_command(b"gone"))
        await admission.came.wait()
        (waits,) = admission.deferred_connections
        writer.close()
        while server.connections:
            await asyncio.sleep(0.01)
        waits()  # its turn comes
        server.admission = None
        assert await harness.send_command(make_command(b"next")) == VALUE_REPLY
        assert [c[2] for c in host.commands] == [b"next"]


@run_on_uvloop
async def test_a_client_that_ends_its_sending_and_takes_no_responses_has_left(tmp_path):
    async with EmulatedHost(b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60000)) as host:
        async with GatewayHarness(host, path=tmp_path) as harness:
            _, writer = await harness.connect()
            writer.transport.pause_reading()
            seen, server = record_outcomes(harness), harness.server.frontends[0].server
            while not server.connections:
                await asyncio.sleep(0)
            (client,) = server.connections
            client.transport.set_write_buffer_limits(high=10**9)  # it is read on, whatever it takes
            for n in range(400):
                writer.write(make_command(b"r%d" % n, customer=b"%016x" % n))
                assert await seen.get() == (f"r{n}", "served")
                if client.transport.get_write_buffer_size():
                    break
            host.answer = None
            writer.write(make_command(b"last", make_fields(d="60000"), customer=b"%016x" % 999))
            while host.commands[-1][2] != b"last":
                await host.arrivals.get()
            writer.write_eof()
            assert await seen.get() == ("last", "gone") and not harness.server.core.in_flight


class ScriptedModule:
    """A module that does what stands here for the next event of a kind."""

    def __init__(self, **does):
        self.does, self.seen = does, asyncio.Queue()

    def handle(self, now, event):
        kind = type(event).__name__
        self.seen.put_nowait(kind)
        return list(self.does.get(kind, ()))


@pytest.mark.parametrize("first", [None, "h1"])
@run_on_uvloop
async def test_a_request_whose_client_left_while_it_waited_is_never_forwarded(first, tmp_path):
    """It waits for whatever the module waits for, or between two attempts; `first` turned it away."""
    async with (
        EmulatedHost(b"-BUSY\r\n") as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        core = harness.server.core
        begins = [messages.ForwardRequest("r1", first)] if first else []
        core.module = ScriptedModule(Request=begins, TimerExpired=[messages.ForwardRequest("r1", "h2")])
        _, writer = await harness.connect()
        writer.write(make_command())
        while await core.module.seen.get() != ("AttemptOutcome" if first else "Request"):
            pass
        writer.close()
        while await core.module.seen.get() != "ClientDisconnected":
            pass
        core.dispatch(messages.TimerExpired(0))  # the module did not hear of it in time
        assert not core.in_flight and not harness.server.upstream.open_count - len(
            harness.server.upstream.connections
        )
        core.module = ScriptedModule(Request=[messages.ForwardRequest("r2", "h2")])
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY
        assert [c[2] for c in two.commands] == [b"r2"]


@run_on_uvloop
async def test_a_request_whose_client_left_while_its_connection_came_up_is_never_forwarded(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        core, loop = harness.server.core, asyncio.get_running_loop()
        with socket.socket() as full, contextlib.ExitStack() as stack:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            fill = [stack.enter_context(socket.socket()) for _ in range(4)]
            for sock in fill:  # the queue of those that nobody accepts is full: the next comes up late
                sock.setblocking(False)
                sock.connect_ex(full.getsockname())
            while not harness.server.endpoint_source.lists_received:  # its first list names the other address
                await asyncio.sleep(0)
            harness.server.upstream.update_endpoint("h1", full.getsockname())
            harness.server.upstream.connect_timeout = 60.0
            core.module = ScriptedModule(Request=[messages.ForwardRequest("r1", "h1")])
            _, writer = await harness.connect()
            writer.write(make_command())
            while await core.module.seen.get() != "Request":
                pass
            assert harness.server.upstream.pools["h1"].connecting
            writer.close()
            while await core.module.seen.get() != "ClientDisconnected":
                pass
            assert not harness.server.upstream.open_count and not core.in_flight
            full.setblocking(False)
            for sock in fill:
                sock.close()
            while True:  # what did come up brings no byte
                try:
                    got, _ = full.accept()
                except BlockingIOError:
                    break
                with got:
                    assert await loop.sock_recv(got, 100) == b""

"""Connections to hosts: attempts and their results, health checks, reuse, and the connection limit."""

import asyncio
import gc
import os
import socket
import struct
import time
from types import SimpleNamespace

import hiredis
import pytest
from gateway_harness import (
    VALUE,
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_fields,
    make_write_command,
    raise_capacity_estimate,
    run_on_uvloop,
)

from apigateway import messages
from apigateway.emulators.resp import fields
from apigateway.upstream import attempt as attempt_module
from apigateway.upstream import connection_pool, framing, message_parser, upstream_connections
from apigateway.upstream.attempt import Attempt
from apigateway.upstream.connection import Connection

LATE_CONNECT_S = 0.2  # less than the gateway's connect timeout
CLIENT_TIMEOUT_S = 1.0
DEADLINE_SLACK_S = 0.15  # by the platform's page


def record_outcomes_of_attempts(core):
    """Return a list to which the result of each attempt is added."""
    results, handle = [], core.module.handle

    def record(now, event):
        if isinstance(event, messages.AttemptOutcome):
            results.append(event.result)
        return handle(now, event)

    core.module.handle = record
    return results


class CheckedReader:
    """hiredis' reader, which records the messages that it was given before they were complete.

    For some of these, such as an array of a thousand million parts, it needs over a second of CPU.
    """

    def __init__(self, incomplete_messages):
        self.reader = hiredis.Reader()
        self.data = b""
        self.incomplete_messages = incomplete_messages

    def feed(self, data):
        self.data = bytes(data)
        self.reader.feed(data)

    def gets(self):
        message = self.reader.gets()
        if message is False:
            self.incomplete_messages.append(self.data)
        return message

    def has_data(self):
        return self.reader.has_data()


@run_on_uvloop
async def test_load_report_when_malformed_then_is_ignored(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        for number, report in enumerate(
            (
                b"$-1\r\n",
                b"$3\r\n???\r\n",
                b"$10\r\nactive=nan\r\n",
                b"$9\r\nactive=-1\r\n",
                b"$10\r\nactive=1_0\r\n",
                b"$3\r\n=,=\r\n",
                b"$12\r\nactive=99999\r\n",
                b"$10\r\nactive= 1 \r\n",
                b":7\r\n",
                b"$8\r\nactive=x\r\n",
            )
        ):
            host.answer = b"*3\r\n$1\r\nv\r\n$-1\r\n" + report
            assert await harness.send_command(make_command(b"r%d" % number)) == b"$1\r\nv\r\n"
        assert harness.server.core.module.pool.reported_mean_load is None


@pytest.mark.parametrize(
    "malformed_reply",
    [
        b"+OK\r\n",
        b"$2\r\nOK\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*1\r\n$-1\r\n",
        b":1\r\n",
        b"*1\r\n:1\r\n",
        b"nonsense\r\n",
        b"$-1\r\n",
        b"*1000000000\r\n",
        b"*3\r\n*3\r\n*3\r\n",
        b"*3\r\n$3000000000\r\n",
        b"*3\r\n$-7\r\n$-1\r\n$-1\r\n",
        b"x" * 5000,
        b"*3\r\n$3\r\nvalue\r\n$-1\r\n$-1\r\n",
        b"\x88\xa8",
    ],
)
@run_on_uvloop
async def test_reply_when_malformed_then_its_value_is_not_served(malformed_reply, tmp_path, monkeypatch):
    incomplete_messages = []
    checked_hiredis = SimpleNamespace(
        Reader=lambda: CheckedReader(incomplete_messages), ProtocolError=hiredis.ProtocolError
    )
    monkeypatch.setattr(message_parser, "hiredis", checked_hiredis)
    monkeypatch.setattr(framing, "MESSAGE_PARSER", message_parser.MessageParser())
    async with EmulatedHost(malformed_reply) as host, GatewayHarness(host, path=tmp_path) as harness:
        assert (await harness.send_command(make_write_command(service_class=b"note"))).startswith(b"-ERR")
        assert incomplete_messages == []
        host.answer = VALUE
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY
        assert len(host.writers) == 2  # the connection with the malformed reply is closed


@run_on_uvloop
async def test_health_check_when_the_host_replies_then_reports_its_load(tmp_path):
    async with EmulatedHost(b"$8\r\nactive=7\r\n") as host, GatewayHarness(host, path=tmp_path) as harness:
        results, is_reported = [], asyncio.Event()

        class RecordingModule:
            def handle(self, now, event):
                if isinstance(event, messages.HealthCheckResult):
                    results.append(event)
                    is_reported.set()
                return []

        harness.server.core.module = RecordingModule()
        harness.server.core.gateway_actions.check_health(messages.CheckHealth("h1"))
        await is_reported.wait()
        assert host.commands == [[b"INFO", b"load"]]
        assert results[0].result == "ok" and results[0].load_report == {"inflight": 7.0}


@run_on_uvloop
async def test_reply_when_late_then_is_not_used_for_another_request(tmp_path):
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        assert (
            await harness.send_command(make_write_command(service_class=b"note", wait_ms=300))
        ).startswith(b"-ERR")
        assert await host.arrivals.get() and await host.arrivals.get() is None  # the connection is closed
        host.writers[0].write(b"*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n")
        host.answer = VALUE
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY


@run_on_uvloop
async def test_unsafe_request_when_the_host_resets_then_may_have_run(tmp_path):
    async with (
        EmulatedHost(b"") as first_host,
        EmulatedHost(b"") as second_host,
        GatewayHarness(first_host, second_host, path=tmp_path) as harness,
    ):
        assert (await harness.send_command(make_write_command(service_class=b"note"))).startswith(b"-ERR")
        assert len(first_host.commands) + len(second_host.commands) == 1


@run_on_uvloop
async def test_request_when_the_host_rejects_it_then_is_sent_to_another_host(tmp_path):
    replies = iter([b"-BUSY active=3\r\n", VALUE])
    async with (
        EmulatedHost() as first_host,
        EmulatedHost() as second_host,
        GatewayHarness(first_host, second_host, path=tmp_path) as harness,
    ):
        harness.server.upstream.connect_timeout = 60.0  # so that connecting succeeds even on a busy machine
        first_host.answer = second_host.answer = lambda: next(replies)
        assert await harness.send_command(make_write_command(service_class=b"note")) == VALUE_REPLY
        assert [parts[2] for parts in first_host.commands + second_host.commands] == [b"r1", b"r1"]


@run_on_uvloop
async def test_request_when_the_connection_is_refused_then_is_rejected_as_not_run(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        host.server.close()
        await host.server.wait_closed()
        assert (await harness.send_command(make_write_command(service_class=b"note"))).startswith(
            b"-BUSY"
        )  # safe to retry


@run_on_uvloop
async def test_connection_when_idle_then_is_reused_and_closed_before_the_hosts_timeout(tmp_path, monkeypatch):
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        for number in range(3):
            assert await harness.send_command(make_command(b"r%d" % number)) == VALUE_REPLY
        assert len(host.writers) == 1
        (connection,) = harness.server.upstream.pools["h1"].idle
        harness.server.upstream.close_stale_connections()
        assert harness.server.upstream.pools["h1"].idle == [connection]
        connection.idle_since -= 28.0  # the host would close the connection after 30 s
        harness.server.upstream.close_stale_connections()
        assert harness.server.upstream.pools["h1"].idle == []
        while await host.arrivals.get() is not None:
            pass


@run_on_uvloop
async def test_connection_limit_when_many_requests_arrive_then_holds(tmp_path):
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        harness.server.upstream.max_connections = 2
        raise_capacity_estimate(harness)
        requests = [
            asyncio.create_task(
                harness.send_command(make_command(b"r%d" % number, fields=make_fields(d="500")))
            )
            for number in range(6)
        ]
        await asyncio.gather(*requests)
        assert len(host.writers) <= 2 * 3 and harness.server.upstream.open_count <= 2


@run_on_uvloop
async def test_attempt_when_cancelled_then_its_connection_is_closed_before_the_next_is_sent(tmp_path):
    """Without hedging, the connection of one attempt must be closed before the next attempt is written."""
    async with (
        EmulatedHost(None) as first_host,
        EmulatedHost() as second_host,
        GatewayHarness(first_host, second_host, path=tmp_path) as harness,
    ):

        class ResendingModule:
            def handle(self, now, event):
                if isinstance(event, messages.Request):
                    return [messages.ForwardRequest(event.request_id, "h1")]
                return (
                    [messages.ForwardRequest(event.request_id, "h2")]
                    if getattr(event, "result", "") == "cancelled"
                    else []
                )

        harness.server.core.module = ResendingModule()
        request = asyncio.create_task(harness.send_command(make_command()))
        await first_host.arrivals.get()
        (attempt,) = harness.server.core.in_flight["r1"].active_attempts.values()
        sock = socket.socket(fileno=os.dup(attempt.connection.descriptor))
        harness.server.core.attempts.cancel(messages.CancelAttempt("r1", 0))
        with pytest.raises(OSError):  # shut down at once, not in a later iteration of the loop
            sock.send(b"x")
        sock.close()
        assert await first_host.arrivals.get() is None
        assert await request == VALUE_REPLY and len(second_host.commands) == 1


@run_on_uvloop
async def test_connect_when_cancelled_before_it_starts_then_uses_no_capacity(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        upstream = harness.server.upstream
        upstream.max_connections = 2
        for _ in range(5):
            attempt = Attempt("h1", make_command(), lambda attempt: None)
            upstream.send(attempt, 3.0)
            upstream.abandon(attempt, "cancelled")
            assert attempt.result == "connect_failed"
        assert await harness.send_command(make_command()) == VALUE_REPLY
        assert len(host.commands) == 1


@pytest.mark.parametrize("is_one_packet", [True, False])
@run_on_uvloop
async def test_reply_when_duplicated_then_is_not_used_for_the_next_request(is_one_packet, tmp_path):
    """The duplicate may still be in the socket's buffer when the next request is sent."""
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        for number in range(3):
            request = asyncio.create_task(harness.send_command(make_command(b"a%d" % number)))
            while not (command := await host.arrivals.get()):
                pass
            reply = b"*3\r\n$2\r\n%s\r\n$-1\r\n$-1\r\n" % command[2]
            writer = host.writers[-1]
            if is_one_packet:
                writer.write(reply + reply)
            else:  # the gateway reads the first packet on its own
                writer.write(reply)
                busy = [c for c in harness.server.upstream.connections if c.attempt is not None]
                while any(connection.attempt is not None for connection in busy):
                    await asyncio.sleep(0)
                writer.write(reply)
            assert await request == b"$2\r\na%d\r\n" % number


@run_on_uvloop
async def test_connection_when_it_has_unread_data_then_is_not_reused(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        assert await harness.send_command(make_command(b"a")) == VALUE_REPLY
        pool = harness.server.upstream.pools["h1"]
        (connection,) = pool.idle
        connection.idle_since -= 1.0
        assert connection.is_reusable()
        connection.transport.pause_reading()  # simulates that the event loop has not read the data yet
        host.writers[0].write(b"*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n")
        await host.writers[0].drain()
        while connection.is_reusable():
            await asyncio.sleep(0)
        assert await harness.send_command(make_command(b"b")) == VALUE_REPLY
        assert len(host.writers) == 2 and connection not in harness.server.upstream.connections


@run_on_uvloop
async def test_attempt_when_processing_its_reply_raises_then_ends(tmp_path, monkeypatch):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        with monkeypatch.context() as patch:
            patch.setattr("apigateway.upstream.connection.apply_reply", lambda *_: 1 / 0)
            assert (await harness.send_command(make_write_command(service_class=b"note"))).startswith(b"-ERR")
        assert not harness.server.upstream.connections
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY


@run_on_uvloop
async def test_connection_when_garbage_collected_then_closes_no_descriptor(tmp_path):
    """uvloop drops a transport whose connect is cancelled without calling connection_lost.

    A socket object kept by the connection would then close a descriptor that has been reused.
    """
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        sock, peer = socket.socketpair()

        class Transport(asyncio.Transport):
            def set_write_buffer_limits(self, high=None, low=None):
                pass

            def is_closing(self):
                return False

        connection = Connection(harness.server.upstream.pools["h1"])
        connection.connection_made(Transport({"socket": sock}))
        assert connection.is_reusable()
        del connection
        gc.collect()
        peer.send(b"x")
        assert sock.recv(1) == b"x"
        sock.close()
        peer.close()


class IdleDroppingHost(EmulatedHost):
    """A host behind a device that drops idle connections.

    While `is_dropping`, the second request on a connection is reset.
    """

    def __init__(self):
        super().__init__()
        self.is_dropping, self.connection_count = True, 0

    async def serve(self, reader, writer):
        self.connection_count += 1
        while data := await reader.read(65536):
            if data and self.is_dropping and writer in self.used_writers:
                writer.transport.abort()
                return
            self.used_writers.add(writer)
            writer.write(VALUE)

    async def __aenter__(self):
        self.used_writers = set()
        return await super().__aenter__()


@run_on_uvloop
async def test_connection_when_idle_ones_are_reset_then_is_not_reused_after_the_same_idle_time(tmp_path):
    async with IdleDroppingHost() as host, GatewayHarness(host, path=tmp_path) as harness:

        async def send_after_idle_time(number, idle_time):
            """Send a request as if the idle connections had been idle for `idle_time` seconds."""
            for pool in harness.server.upstream.pools.values():
                for connection in pool.idle:
                    connection.idle_since = time.monotonic() - idle_time
            return await harness.send_command(make_command(b"r%d" % number))

        replies = [await send_after_idle_time(number, 1.0) for number in range(40)]
        assert replies.count(VALUE_REPLY) >= 34 and replies[-20:] == [VALUE_REPLY] * 20
        host.is_dropping, count_before = False, host.connection_count
        assert [await send_after_idle_time(number, 0.05) for number in range(50, 60)] == [VALUE_REPLY] * 10
        assert host.connection_count <= count_before + 1  # after a shorter idle time connections are reused


@run_on_uvloop
async def test_connection_when_established_while_it_is_cancelled_then_is_closed(tmp_path, monkeypatch):
    connection_made = Connection.connection_made

    def cancel_when_connected(connection, transport):
        connection_made(connection, transport)
        for attempt in list(connection.pool.connecting):
            harness.server.upstream.abandon(attempt, "cancelled")

    monkeypatch.setattr(Connection, "connection_made", cancel_when_connected)
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        assert (await harness.send_command(make_write_command(service_class=b"note"))).startswith(
            (b"-BUSY", b"-ERR")
        )
        assert await host.arrivals.get() is None and not host.commands  # it was closed without a command
        assert not harness.server.upstream.connections and not harness.server.upstream.open_count


@run_on_uvloop
async def test_connection_when_close_to_the_hosts_idle_timeout_then_is_not_reused(tmp_path, monkeypatch):
    """This must hold between two idle checks too, whose interval may exceed a short idle timeout."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        assert await harness.send_command(make_command(b"a")) == VALUE_REPLY
        (connection,) = harness.server.upstream.pools["h1"].idle
        connection.idle_since -= 28.0  # the host would close the connection after 30 s
        assert await harness.send_command(make_command(b"b")) == VALUE_REPLY
        assert len(host.writers) == 2


@run_on_uvloop
async def test_connection_when_its_reply_was_recent_then_is_not_reused(tmp_path, monkeypatch):
    """A duplicate reply may follow some milliseconds later and must not be read as the next reply."""
    now = [1000.0]
    for module in (attempt_module, connection_pool, upstream_connections):
        monkeypatch.setattr(module, "monotonic", lambda: now[0])
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        for request_id, delay, connection_count in ((b"a", 0.0, 1), (b"b", 0.012, 2), (b"c", 0.3, 2)):
            now[0] += delay
            assert await harness.send_command(make_command(request_id)) == VALUE_REPLY
            assert len(host.writers) == connection_count


@run_on_uvloop
async def test_request_when_reset_before_its_last_byte_was_written_then_has_not_run(tmp_path, monkeypatch):
    connection_made, connections = Connection.connection_made, []

    def connect_with_small_buffer(connection, transport):
        connection_made(connection, transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connections.append(connection)

    monkeypatch.setattr(Connection, "connection_made", connect_with_small_buffer)
    loop = asyncio.get_running_loop()
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        with socket.socket() as listener:  # a host that reads nothing
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            while not harness.server.endpoint_source.lists_received:  # the first list would reset the address
                await asyncio.sleep(0)
            harness.server.upstream.update_endpoint("h1", listener.getsockname())
            harness.server.upstream.connect_timeout = 60.0  # so that connecting succeeds on a busy machine
            command = make_command(b"r1", make_fields(c="note", d="60000"), b"API.WRITE", body=b"x" * 60_000)
            request = asyncio.create_task(harness.send_command(command))
            accepted, _ = await loop.sock_accept(listener)
            while not (connections and connections[0].attempt is not None and not connections[0].is_written):
                await asyncio.sleep(0)
            listener.close()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()  # sends a reset
            assert (await request).startswith(b"-BUSY")  # rejected, as it has not run


# Guards against a host that is told a later deadline than its client's because the connection came up late.
@run_on_uvloop
async def test_deadline_told_when_the_connection_comes_up_late_then_is_within_the_slack(
    tmp_path, monkeypatch
):
    open_connection = connection_pool.ConnectionPool._open_connection

    async def open_late(pool):
        await asyncio.sleep(LATE_CONNECT_S)
        return await open_connection(pool)

    monkeypatch.setattr(connection_pool.ConnectionPool, "_open_connection", open_late)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        _, writer = await harness.connect()
        sent_at = time.monotonic()
        writer.write(make_command(b"late", make_fields(d=str(int(CLIENT_TIMEOUT_S * 1000)))))
        command = await host.arrivals.get()
        told_s = int(fields(command)["d"]) / 1000
        assert time.monotonic() + told_s <= sent_at + CLIENT_TIMEOUT_S + DEADLINE_SLACK_S


# Guards against an attempt that begins after its client left because the connection to its host came up late.
@run_on_uvloop
async def test_attempt_when_its_client_left_while_the_connection_came_up_then_is_not_sent(
    tmp_path, monkeypatch
):
    open_connection = connection_pool.ConnectionPool._open_connection
    is_opening, may_open = asyncio.Event(), asyncio.Event()

    async def open_when_told(pool):
        is_opening.set()
        await may_open.wait()
        return await open_connection(pool)

    monkeypatch.setattr(connection_pool.ConnectionPool, "_open_connection", open_when_told)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        core = harness.server.core
        _, writer = await harness.connect()
        writer.write(make_command(b"left"))
        await is_opening.wait()
        (client,) = harness.server.frontends[0].server.connections
        client.transport.pause_reading()  # the end of the connection stays unread
        writer.close()
        while not client.is_closed_by_peer():
            await asyncio.sleep(0)
        outcomes = record_outcomes_of_attempts(core)
        may_open.set()
        while not outcomes:
            await asyncio.sleep(0)
        assert outcomes[0] == messages.AttemptResult.ABANDONED
        assert await harness.send_command(make_command(b"next")) == VALUE_REPLY
        assert [command[2] for command in host.commands] == [b"next"]

"""Connections to hosts: attempts, their outcomes, probes, caps."""

import asyncio
import gc
import os
import socket
import struct
import time

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
from apigateway.upstream import attempt as attempts
from apigateway.upstream import connection_pool, upstream_connections
from apigateway.upstream.attempt import Attempt
from apigateway.upstream.connection import Connection


@run_on_uvloop
async def test_load_report_when_malformed_then_is_ignored(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        for n, report in enumerate(
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
            assert await harness.send_command(make_command(b"r%d" % n)) == b"$1\r\nv\r\n"
        assert harness.server.core.module.pool.reported_mean_load is None


@pytest.mark.parametrize(
    "odd",
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
async def test_value_when_malformed_then_is_not_served(odd, tmp_path):
    async with EmulatedHost(odd) as host, GatewayHarness(host, path=tmp_path) as harness:
        began = time.process_time()
        assert (await harness.send_command(make_write_command(service_class=b"note"))).startswith(b"-ERR")
        assert time.process_time() - began < 0.5  # CPU is rationed; hiredis took over a second for some
        host.answer = VALUE
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY
        assert len(host.writers) == 2  # a connection that brought such a thing is of no further use


@run_on_uvloop
async def test_health_check_returns_the_load_report(tmp_path):
    async with EmulatedHost(b"$8\r\nactive=7\r\n") as host, GatewayHarness(host, path=tmp_path) as harness:
        seen, done = [], asyncio.Event()

        class Watcher:
            def handle(self, now, event):
                if isinstance(event, messages.HealthCheckResult):
                    seen.append(event)
                    done.set()
                return []

        harness.server.core.module = Watcher()
        harness.server.core.gateway_actions.check_health(messages.CheckHealth("h1"))
        await done.wait()
        assert host.commands == [[b"INFO", b"load"]]
        assert seen[0].result == "ok" and seen[0].load_report == {"inflight": 7.0}


@run_on_uvloop
async def test_answer_when_late_then_reaches_no_request(tmp_path):
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        assert (
            await harness.send_command(make_write_command(service_class=b"note", wait_ms=300))
        ).startswith(b"-ERR")
        assert await host.arrived.get() and await host.arrived.get() is None  # the connection went too
        host.writers[0].write(b"*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n")
        host.answer = VALUE
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY


@run_on_uvloop
async def test_unsafe_request_when_the_host_resets_then_may_have_run(tmp_path):
    async with (
        EmulatedHost(b"") as one,
        EmulatedHost(b"") as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        assert (await harness.send_command(make_write_command(service_class=b"note"))).startswith(b"-ERR")
        assert len(one.commands) + len(two.commands) == 1


@run_on_uvloop
async def test_request_when_the_host_is_full_then_has_not_run(tmp_path):
    turns = iter([b"-BUSY active=3\r\n", VALUE])
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        harness.server.upstream.connect_timeout = 60.0  # one connection to each, however busy this machine is
        one.answer = two.answer = lambda: next(turns)
        assert await harness.send_command(make_write_command(service_class=b"note")) == VALUE_REPLY
        assert [c[2] for c in one.commands + two.commands] == [b"r1", b"r1"]


@run_on_uvloop
async def test_request_when_the_connection_is_refused_then_has_not_run(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        host.server.close()
        await host.server.wait_closed()
        assert (await harness.send_command(make_write_command(service_class=b"note"))).startswith(
            b"-BUSY"
        )  # harmless to try again


@run_on_uvloop
async def test_connection_is_reused_and_closed_before_the_hosts_idle_limit(tmp_path, monkeypatch):
    monkeypatch.setattr(connection_pool, "SETTLE_TIME_S", 0.0)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        for n in range(3):
            assert await harness.send_command(make_command(b"r%d" % n)) == VALUE_REPLY
        assert len(host.writers) == 1
        (conn,) = harness.server.upstream.pools["h1"].idle
        harness.server.upstream.close_stale_connections()
        assert harness.server.upstream.pools["h1"].idle == [conn]
        conn.idle_since -= 28.0  # of the 30 s after which the host would close it
        harness.server.upstream.close_stale_connections()
        assert harness.server.upstream.pools["h1"].idle == []
        while await host.arrived.get() is not None:
            pass


@run_on_uvloop
async def test_connection_limit_holds(tmp_path):
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        harness.server.upstream.max_connections = 2
        raise_capacity_estimate(harness)
        asked = [
            asyncio.create_task(harness.send_command(make_command(b"r%d" % n, fields=make_fields(d="500"))))
            for n in range(6)
        ]
        await asyncio.gather(*asked)
        assert len(host.writers) <= 2 * 3 and harness.server.upstream.open_count <= 2


@run_on_uvloop
async def test_attempt_when_cancelled_then_is_off_the_host_before_the_next_is_sent(tmp_path):
    """Where second copies are not allowed, one attempt's connection must end before the next is written."""
    async with (
        EmulatedHost(None) as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):

        class Mover:
            def handle(self, now, event):
                if isinstance(event, messages.Request):
                    return [messages.ForwardRequest(event.request_id, "h1")]
                return (
                    [messages.ForwardRequest(event.request_id, "h2")]
                    if getattr(event, "result", "") == "cancelled"
                    else []
                )

        harness.server.core.module = Mover()
        asked = asyncio.create_task(harness.send_command(make_command()))
        await one.arrived.get()
        (attempt,) = harness.server.core.in_flight["r1"].active_attempts.values()
        ended = socket.socket(fileno=os.dup(attempt.connection.descriptor))
        harness.server.core.attempts.cancel(messages.CancelAttempt("r1", 0))
        with pytest.raises(OSError):  # the socket was shut at once, not in a later turn of the loop
            ended.send(b"x")
        ended.close()
        assert await one.arrived.get() is None
        assert await asked == VALUE_REPLY and len(two.commands) == 1


@run_on_uvloop
async def test_connects_when_cancelled_before_they_start_then_take_no_capacity(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        hosts = harness.server.upstream
        hosts.max_connections = 2
        for _ in range(5):
            attempt = Attempt("h1", make_command(), lambda attempt: None)
            hosts.send(attempt, 3.0)
            hosts.abandon(attempt, "cancelled")
            assert attempt.result == "connect_failed"
        assert await harness.send_command(make_command()) == VALUE_REPLY
        assert len(host.commands) == 1


@pytest.mark.parametrize("together", [True, False])
@run_on_uvloop
async def test_bytes_after_an_answer_are_never_the_next_answer(together, tmp_path):
    """A second copy may still wait in the socket when the next request is sent off."""
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        for n in range(3):
            asked = asyncio.create_task(harness.send_command(make_command(b"a%d" % n)))
            while not (got := await host.arrived.get()):
                pass
            own = b"*3\r\n$2\r\n%s\r\n$-1\r\n$-1\r\n" % got[2]
            writer = host.writers[-1]
            if together:
                writer.write(own + own)
            else:  # two packets: the gateway reads the first alone
                writer.write(own)
                conns = [c for c in harness.server.upstream.connections if c.attempt is not None]
                while any(c.attempt is not None for c in conns):
                    await asyncio.sleep(0)
                writer.write(own)
            assert await asked == b"$2\r\na%d\r\n" % n


@run_on_uvloop
async def test_connection_is_checked_before_it_is_reused(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        assert await harness.send_command(make_command(b"a")) == VALUE_REPLY
        pool = harness.server.upstream.pools["h1"]
        (conn,) = pool.idle
        conn.idle_since -= 1.0
        assert conn.is_reusable()
        conn.transport.pause_reading()  # as if the loop had not come round to it
        host.writers[0].write(b"*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n")
        await host.writers[0].drain()
        while conn.is_reusable():
            await asyncio.sleep(0)
        assert await harness.send_command(make_command(b"b")) == VALUE_REPLY
        assert len(host.writers) == 2 and conn not in harness.server.upstream.connections


@run_on_uvloop
async def test_attempt_when_reading_its_answer_raises_then_ends(tmp_path, monkeypatch):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        with monkeypatch.context() as patch:
            patch.setattr("apigateway.upstream.connection.read_reply", lambda *_: 1 / 0)
            assert (await harness.send_command(make_write_command(service_class=b"note"))).startswith(b"-ERR")
        assert not harness.server.upstream.connections
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY


@run_on_uvloop
async def test_connection_when_garbage_collected_then_closes_no_descriptor(tmp_path):
    """uvloop drops a transport whose connect is called off without a connection_lost."""
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        ours, theirs = socket.socketpair()

        class Transport(asyncio.Transport):
            def set_write_buffer_limits(self, high=None, low=None):
                pass

            def is_closing(self):
                return False

        conn = Connection(harness.server.upstream.pools["h1"])
        conn.connection_made(Transport({"socket": ours}))
        assert conn.is_reusable()
        del conn
        gc.collect()
        theirs.send(b"x")
        assert ours.recv(1) == b"x"
        ours.close()
        theirs.close()


class Forgetful(EmulatedHost):
    """Behind something that drops connections at rest: the second request on one is reset while `dropped`."""

    def __init__(self):
        super().__init__()
        self.dropped, self.made = True, 0

    async def serve(self, reader, writer):
        self.made += 1
        while data := await reader.read(65536):
            if data and self.dropped and writer in self.used:
                writer.transport.abort()
                return
            self.used.add(writer)
            writer.write(VALUE)

    async def __aenter__(self):
        self.used = set()
        return await super().__aenter__()


@run_on_uvloop
async def test_connections_when_idle_ones_are_reset_then_are_not_reused_after_such_an_idle_time(tmp_path):
    async with Forgetful() as host, GatewayHarness(host, path=tmp_path) as harness:

        async def ask(n, rest):
            """A request once the host's connections have rested so long."""
            for pool in harness.server.upstream.pools.values():
                for conn in pool.idle:
                    conn.idle_since = time.monotonic() - rest
            return await harness.send_command(make_command(b"r%d" % n))

        replies = [await ask(n, 1.0) for n in range(40)]
        assert replies.count(VALUE_REPLY) >= 34 and replies[-20:] == [VALUE_REPLY] * 20
        host.dropped, made = False, host.made
        assert [await ask(n, 0.05) for n in range(50, 60)] == [VALUE_REPLY] * 10
        assert host.made <= made + 1  # those that rested for less are used on


@run_on_uvloop
async def test_connection_when_established_as_it_is_cancelled_then_is_closed(tmp_path, monkeypatch):
    made = Connection.connection_made

    def called_off_in_this_turn(conn, transport):
        made(conn, transport)
        for attempt in list(conn.pool.connecting):
            harness.server.upstream.abandon(attempt, "cancelled")

    monkeypatch.setattr(Connection, "connection_made", called_off_in_this_turn)
    async with EmulatedHost(None) as host, GatewayHarness(host, path=tmp_path) as harness:
        assert (await harness.send_command(make_write_command(service_class=b"note"))).startswith(
            (b"-BUSY", b"-ERR")
        )
        assert await host.arrived.get() is None and not host.commands  # it ended, and nothing came on it
        assert not harness.server.upstream.connections and not harness.server.upstream.open_count


@run_on_uvloop
async def test_connection_when_idle_nearly_as_long_as_hosts_allow_then_is_not_reused(tmp_path, monkeypatch):
    """Between two looks for idle ones as well, which are further apart than a short idle time."""
    monkeypatch.setattr(connection_pool, "SETTLE_TIME_S", 0.0)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        assert await harness.send_command(make_command(b"a")) == VALUE_REPLY
        (conn,) = harness.server.upstream.pools["h1"].idle
        conn.idle_since -= 28.0  # of the 30 s after which the host would close it
        assert await harness.send_command(make_command(b"b")) == VALUE_REPLY
        assert len(host.writers) == 2


@run_on_uvloop
async def test_second_answer_when_some_milliseconds_late_then_reaches_no_request(tmp_path, monkeypatch):
    """Until it could have shown itself the connection rests, whoever waits for one."""
    now = [1000.0]
    for module in (attempts, connection_pool, upstream_connections):
        monkeypatch.setattr(module, "monotonic", lambda: now[0])
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        for id, later, lines in ((b"a", 0.0, 1), (b"b", 0.012, 2), (b"c", 0.3, 2)):
            now[0] += later
            assert await harness.send_command(make_command(id)) == VALUE_REPLY
            assert len(host.writers) == lines


@run_on_uvloop
async def test_request_when_reset_before_its_last_byte_was_written_then_has_not_run(tmp_path, monkeypatch):
    made, lines = Connection.connection_made, []

    def with_little_room(conn, transport):
        made(conn, transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        lines.append(conn)

    monkeypatch.setattr(Connection, "connection_made", with_little_room)
    loop = asyncio.get_running_loop()
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        with socket.socket() as stuck:  # a host that reads nothing
            stuck.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            stuck.bind(("127.0.0.1", 0))
            stuck.listen()
            stuck.setblocking(False)
            while not harness.server.endpoint_source.lists_received:  # its first list names the other address
                await asyncio.sleep(0)
            harness.server.upstream.update_endpoint("h1", stuck.getsockname())
            harness.server.upstream.connect_timeout = 60.0  # one connection, however busy this machine is
            text = make_command(b"r1", make_fields(c="note", d="60000"), b"API.WRITE", body=b"x" * 60_000)
            asked = asyncio.create_task(harness.send_command(text))
            got, _ = await loop.sock_accept(stuck)
            while not (lines and lines[0].attempt is not None and not lines[0].is_written):
                await asyncio.sleep(0)
            stuck.close()
            got.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            got.close()  # a reset
            assert (await asked).startswith(b"-BUSY")  # a refusal: it has not run

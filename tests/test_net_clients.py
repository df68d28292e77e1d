"""Clients: bad input, the order of answers, those that leave."""

import asyncio
import contextlib
import socket

import pytest
from netkit import SERVED, VALUE, Node, StubHost, command, on_loop, read_reply, roomy, terms

from apigateway import messages
from apigateway.frontends.resp import server as clients


@pytest.mark.parametrize(
    "bad",
    [
        b"*1\r\n$7\r\nUNKNOWN\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b":5\r\n",
        b"*2\r\n$8\r\nAPI.READ\r\n:0\r\n",
        command(terms=terms(d=None)),
        command(terms=terms(d="soon")),
        command(terms=terms(d="-1")),
        command(terms=terms(c="none")),
        command(terms=terms(t="none")),
        command(terms=terms(units="nan")),
        command(terms=terms(spread="0")),
        command(terms=terms(c="note")),
        command(terms=b"\xff\xfe"),
        command(terms=terms(c=None)),
        command(customer=b"xyz"),
        command(id=b""),
        command(body=b"BODY"),
        command(terms=terms(d="1_0")),
        command(terms=terms(d="+10")),
        command(terms=terms(d=" 10")),
        command(terms=terms(units="0")),
        command(terms=terms(units="2")),
        command(terms=terms(units="1_0")),
        command(terms=terms(spread="2")),
        command(terms=terms(first="1")),
        command(terms=terms(first="-1")),
        command(customer=b"0x000000b4d65521"),
        command(customer=b"ffffffffb4d65521"),
        command(id=b"x" * 65),
        command(terms=terms() + b",d=2000"),
        command(terms=terms(d="9" * 400)),
        command(terms=terms(d="9" * 12)),
        command(terms=terms(units="1e999")),
        command(terms=terms(c="write"), verb=b"API.WRITE", body=b"x"),  # keyed, without its key
        command(terms=terms(c="note"), verb=b"API.WRITE", body=b"x" * 65537),
    ],
)
@on_loop
async def test_bad_commands_are_answered_and_the_connection_goes_on(bad, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad + b"*1\r\n$4\r\nPING\r\n")
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b"+PONG\r\n"
        assert not host.commands


@pytest.mark.parametrize(
    "bad",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n$70000\r\n" + b"x" * 69900,
        b"*x\r\n",
        b"*99999999999\r\n",
        b"*4294967295\r\n",
        b"*1000000000\r\n",
        b"*5\r\n*5\r\n",
        b"*1\r\n$60000000\r\n",
        b"*1\r\n$-7\r\n",
        b"*1\r\n$4\r\nPINGxx",
        b"*1\r\n$+4\r\nPING\r\n",
        b"*1\r\n$1_0\r\n",
        b"%1\r\n",
        b"*" + b"1" * 2000,
    ],
)
@on_loop
async def test_lost_framing_ends_only_its_own_connection(bad, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad)
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b""
        assert await node.ask(command()) == SERVED


@on_loop
async def test_answers_come_in_the_order_of_the_commands(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"slow"))
        await host.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == SERVED
        assert await read_reply(reader) == b"+PONG\r\n"


@on_loop
async def test_a_client_that_left_has_its_attempt_called_off(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        _, writer = await node.connect()
        writer.write(command())
        await host.arrived.get()
        writer.close()
        assert await host.arrived.get() is None  # the connection to the host ended
        assert not node.node.core.in_flight


@on_loop
async def test_what_comes_on_a_connection_that_is_to_close_is_served(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"first"))
        await host.arrived.get()
        node.node.frontends[0].server.finish()
        writer.write(command(b"second"))
        while (await host.arrived.get())[2] != b"second":
            pass
        for out in host.writers:
            out.write(VALUE)
        assert [await read_reply(reader) for _ in range(3)] == [SERVED, SERVED, b""]


@on_loop
async def test_what_lies_unread_when_connections_are_told_to_end_is_served(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        server = node.node.frontends[0].server
        with socket.create_connection(("127.0.0.1", node.port)) as sock:
            sock.setblocking(False)
            while not server.clients:
                await asyncio.sleep(0)
            sock.send(command())  # in the server's socket, which it has not read
            node.node.frontends[0].finish()
            loop, got = asyncio.get_running_loop(), b""
            while data := await loop.sock_recv(sock, 100):
                got += data
            assert got == SERVED


@on_loop
async def test_unread_commands_when_a_full_connection_told_to_end_is_answered_at_once_are_served(tmp_path):
    """It is not read while it has too much in work, and all of that is answered in one turn."""
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        server = node.node.frontends[0].server
        writer.write(command(b"first"))
        await host.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n" * clients.MOST_PENDING)  # answered behind the first
        (client,) = server.clients
        while not client.flooded:
            await asyncio.sleep(0)
        host.answer = VALUE
        writer.write(command(b"last"))
        while not client.unread():
            await asyncio.sleep(0)
        server.finish()
        for out in host.writers:
            out.write(VALUE)
        told = [await read_reply(reader) for _ in range(clients.MOST_PENDING + 2)]
        assert told[0] == told[-1] == SERVED and set(told[1:-1]) == {b"+PONG\r\n"}
        assert await read_reply(reader) == b""


@on_loop
async def test_half_a_command_when_connections_are_told_to_end_is_served_once_whole(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        front, text = node.node.frontends[0], command()
        writer.write(text[:20])
        while not front.server.partial:
            await asyncio.sleep(0)
        ending = asyncio.create_task(node.node.stop(0.0))
        while not all(client.closing for client in front.server.clients):
            await asyncio.sleep(0)
        writer.write(text[20:])
        assert await read_reply(reader) == SERVED and await read_reply(reader) == b""
        await ending


@on_loop
async def test_the_end_waits_for_an_answer_that_is_half_written(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        owed = iter([True, True, False])

        class Front(type(node.node.frontends[0])):
            @property
            def owes(self):
                return next(owed, False)

        node.node.frontends[0].__class__ = Front
        await node.node.stop(0.0)
        assert next(owed, None) is None  # asked until nothing was owed


@pytest.mark.parametrize(
    "sent, told", [(b"", b""), (b"*4\r\n$8\r\nAPI.R", b"-ERR"), (b"*1\r\n$4\r\nPING\r\n", b"+PONG")]
)
@on_loop
async def test_a_connection_without_a_request_is_closed_in_time(sent, told, tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "IDLE", 0.1)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(sent)
        assert (await read_reply(reader)).startswith(told)
        assert await reader.read() == b""
        while node.node.frontends[0].server.clients:
            await asyncio.sleep(0.01)
        server = node.node.frontends[0].server
        assert not (server.idle or server.ending or server.partial)


@on_loop
async def test_a_connection_with_a_request_in_work_is_not_idle(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "IDLE", 0.1)
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        idle, _ = await node.connect()
        writer.write(command())
        await host.arrived.get()
        assert await idle.read() == b""  # this one went, some sweeps later
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == SERVED


@on_loop
async def test_lost_framing_does_not_wait_for_what_is_in_work(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command())
        await host.arrived.get()
        writer.write(b"nonsense" + b"x" * 100_000)
        assert await read_reply(reader) == b"-ERR failed\r\n"  # its one answer, though the host is silent
        assert (await read_reply(reader)).startswith(b"-ERR protocol")
        assert await reader.read() == b""  # an end, not a reset, though there was more to read
        assert await host.arrived.get() is None and not node.node.core.in_flight


@on_loop
async def test_who_takes_no_answers_is_let_go(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "STUCK", 0.1)
    async with StubHost(b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60000)) as host:
        async with Node(host, path=tmp_path) as node:
            _, writer = await node.connect()
            writer.transport.pause_reading()
            with contextlib.suppress(ConnectionError):
                for n in range(400):
                    writer.write(command(b"r%d" % n))
                    await writer.drain()
            while node.node.frontends[0].server.clients:
                await asyncio.sleep(0.01)
            assert not (node.node.core.in_flight or node.node.core.body_budget.used)


@on_loop
async def test_at_the_limit_the_longest_idle_goes_and_with_all_busy_the_newcomer(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        node.node.frontends[0].server.most = 2
        roomy(node)
        first, _ = await node.connect()
        busy = []
        for n in range(2):
            reader, writer = await node.connect()
            writer.write(command(b"r%d" % n))
            await host.arrived.get()
            busy.append(reader)
        assert await first.read() == b""
        last, _ = await node.connect()
        assert (await read_reply(last)).startswith(b"-ERR too many") and await last.read() == b""
        for writer in host.writers:
            writer.write(VALUE)
        assert [await read_reply(reader) for reader in busy] == [SERVED, SERVED]


@on_loop
async def test_half_commands_together_are_bounded(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.node.frontends[0].server.most_partial = 100_000
        readers = []
        for _ in range(3):
            reader, writer = await node.connect()
            writer.write(b"*5\r\n$60000\r\n" + b"x" * 40_000)
            readers.append(asyncio.create_task(read_reply(reader)))
        done, _ = await asyncio.wait(readers, return_when=asyncio.FIRST_COMPLETED)
        assert [task.result() for task in done] == [b"-ERR too much in work\r\n"]
        assert await node.ask(command()) == SERVED


def outcomes(node):
    """What each request ends with from now on, in order; an event for each."""
    seen, responses = asyncio.Queue(), node.node.core.responses
    finish = responses.finish

    def noted(work, outcome, *told):
        seen.put_nowait((work.request_id, outcome))
        finish(work, outcome, *told)

    responses.finish = noted
    return seen


@on_loop
async def test_a_client_that_leaves_while_it_is_not_read_has_left(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        _, writer = await node.connect()
        seen, server = outcomes(node), node.node.frontends[0].server
        writer.write(command(b"first", terms(d="60000")))
        await host.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n" * clients.MOST_PENDING)  # answered behind the first
        while not (server.unread or server.clients and next(iter(server.clients)).flooded):
            await asyncio.sleep(0)
        writer.write(command(b"unread"))
        writer.close()
        assert await seen.get() == ("first", "gone")
        while server.clients:
            await asyncio.sleep(0)
        assert not (node.node.core.in_flight or server.unread or server.stuck) and len(host.commands) == 1


class BusyDoor:
    """The loop has always read for long enough in this turn; what waits is gone on with by the test."""

    is_slice_used_up, lag = True, 0.0

    def __init__(self):
        self.deferred_connections, self.came = [], asyncio.Event()

    def clock(self):
        self.came.set()
        return 0.0


@on_loop
async def test_a_client_that_leaves_while_its_commands_wait_their_turn_has_left(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        server = node.node.frontends[0].server
        server.door = door = BusyDoor()
        _, writer = await node.connect()
        writer.write(command(b"gone"))
        await door.came.wait()
        (waits,) = door.deferred_connections
        writer.close()
        while server.clients:
            await asyncio.sleep(0.01)
        waits()  # its turn comes
        server.door = None
        assert await node.ask(command(b"next")) == SERVED
        assert [c[2] for c in host.commands] == [b"next"]


@on_loop
async def test_a_client_that_ends_its_sending_and_takes_no_answers_has_left(tmp_path):
    async with StubHost(b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60000)) as host:
        async with Node(host, path=tmp_path) as node:
            _, writer = await node.connect()
            writer.transport.pause_reading()
            seen, server = outcomes(node), node.node.frontends[0].server
            while not server.clients:
                await asyncio.sleep(0)
            (client,) = server.clients
            client.transport.set_write_buffer_limits(high=10**9)  # it is read on, whatever it takes
            for n in range(400):
                writer.write(command(b"r%d" % n, customer=b"%016x" % n))
                assert await seen.get() == (f"r{n}", "served")
                if client.transport.get_write_buffer_size():
                    break
            host.answer = None
            writer.write(command(b"last", terms(d="60000"), customer=b"%016x" % 999))
            while host.commands[-1][2] != b"last":
                await host.arrived.get()
            writer.write_eof()
            assert await seen.get() == ("last", "gone") and not node.node.core.in_flight


class Waiting:
    """A module that does what stands here for the next event of a kind."""

    def __init__(self, **does):
        self.does, self.seen = does, asyncio.Queue()

    def handle(self, now, event):
        kind = type(event).__name__
        self.seen.put_nowait(kind)
        return list(self.does.get(kind, ()))


@pytest.mark.parametrize("first", [None, "h1"])
@on_loop
async def test_a_request_whose_client_left_while_it_waited_is_never_sent_on(first, tmp_path):
    """It waits for whatever the module waits for, or between two attempts; `first` turned it away."""
    async with StubHost(b"-BUSY\r\n") as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        core = node.node.core
        begins = [messages.ForwardRequest("r1", first)] if first else []
        core.module = Waiting(Request=begins, TimerExpired=[messages.ForwardRequest("r1", "h2")])
        _, writer = await node.connect()
        writer.write(command())
        while await core.module.seen.get() != ("AttemptOutcome" if first else "Request"):
            pass
        writer.close()
        while await core.module.seen.get() != "ClientDisconnected":
            pass
        core.dispatch(messages.TimerExpired(0))  # the module did not hear of it in time
        assert not core.in_flight and not node.node.upstream.open_count - len(node.node.upstream.connections)
        core.module = Waiting(Request=[messages.ForwardRequest("r2", "h2")])
        assert await node.ask(command(b"r2")) == SERVED
        assert [c[2] for c in two.commands] == [b"r2"]


@on_loop
async def test_a_request_whose_client_left_while_its_connection_came_up_is_never_sent_on(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        core, loop = node.node.core, asyncio.get_running_loop()
        with socket.socket() as full, contextlib.ExitStack() as stack:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            fill = [stack.enter_context(socket.socket()) for _ in range(4)]
            for sock in fill:  # the queue of those that nobody accepts is full: the next comes up late
                sock.setblocking(False)
                sock.connect_ex(full.getsockname())
            while not node.node.endpoint_source.lists_received:  # its first list names the other address
                await asyncio.sleep(0)
            node.node.upstream.update_endpoint("h1", full.getsockname())
            node.node.upstream.connect_timeout = 60.0
            core.module = Waiting(Request=[messages.ForwardRequest("r1", "h1")])
            _, writer = await node.connect()
            writer.write(command())
            while await core.module.seen.get() != "Request":
                pass
            assert node.node.upstream.pools["h1"].connecting
            writer.close()
            while await core.module.seen.get() != "ClientDisconnected":
                pass
            assert not node.node.upstream.open_count and not core.in_flight
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

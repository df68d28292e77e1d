"""A gateway server in this process: one answer for each request, failures of the module, timers, the stop."""

import asyncio
import itertools
import logging
import socket
import time

import pytest
from netkit import SERVED, VALUE, EmulatedHost, HeldHost, Node, command, on_loop, read_reply, terms, write

from apigateway import messages
from apigateway.core import deadlines


@on_loop
async def test_request_when_the_host_answers_then_gets_its_value_unchanged(tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        host.answer = b"*3\r\n$6\r\na\r\nb\x00c\r\n:42\r\n$18\r\nactive=1,waiting=0\r\n"
        assert await node.ask(command()) == b"$6\r\na\r\nb\x00c\r\n"
        assert host.commands[0][:3] == [b"API.READ", b"00000000b4d65521", b"r1"]
        fields = dict(f.split(b"=") for f in host.commands[0][3].split(b","))
        assert 0 < int(fields.pop(b"d")) < 3000  # as long as the gateway waits, less than the client does
        assert fields == {b"c": b"read", b"t": b"p", b"units": b"1", b"spread": b"1", b"first": b"0"}


@on_loop
async def test_request_when_the_host_is_silent_then_fails_before_the_client_gives_up(tmp_path, monkeypatch):
    monkeypatch.setattr(deadlines, "RESPONSE_MARGIN_S", 2.0)  # a margin that no busy machine eats up
    async with EmulatedHost(answer=None) as host, Node(host, path=tmp_path) as node:
        began = time.monotonic()
        assert (await node.ask(write(cls=b"note", d=2300))).startswith(b"-ERR")  # it may have run: no refusal
        assert time.monotonic() - began < 2.3
        assert len(host.commands) == 1


@on_loop
async def test_rejection_when_over_quota_then_tells_retry_after_at_once(tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        small, replies = terms(t="small"), []
        began = time.monotonic()
        for n in range(4):
            replies.append(await node.ask(command(b"r%d" % n, terms=small)))
        assert replies[0] == SERVED and replies[-1].startswith(b"-BUSY ")
        assert 0 < int(replies[-1].split()[1]) <= 2000
        assert time.monotonic() - began < 3.0


@on_loop
async def test_decision_module_when_it_raises_then_only_that_request_fails(tmp_path, caplog):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        module, real = node.node.core.module, node.node.core.module.handle

        class Broken:
            def handle(self, now, event):
                if getattr(event, "request_id", "") == "bad":
                    raise RuntimeError("broken")
                return real(now, event)

        node.node.core.module = Broken()
        with caplog.at_level(logging.CRITICAL):
            assert await node.ask(command(b"bad")) == b"-ERR failed\r\n"
            assert await node.ask(command(b"good")) == SERVED
        assert module.pending == {} and not node.node.core.in_flight


@on_loop
async def test_decision_module_when_it_says_nothing_then_the_request_fails_in_time(tmp_path, monkeypatch):
    monkeypatch.setattr(deadlines, "DEADLINE_GUARD_MARGIN_S", 2.0)  # as above
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:

        class Mute:
            def handle(self, now, event):
                return []

        node.node.core.module = Mute()
        began = time.monotonic()
        assert await node.ask(command(terms=terms(d="2300"))) == b"-ERR failed\r\n"
        assert time.monotonic() - began < 2.3


@on_loop
async def test_timer_never_reaches_the_decision_module_early(tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:

        class Clocked:
            def __init__(self):
                self.early, self.seen, self.done = [], 0, asyncio.Event()

            def handle(self, now, event):
                self.early += [now - due[event.label]] if now < due[event.label] else []
                self.seen += 1
                if self.seen == len(due):
                    self.done.set()
                return []

        node.node.core.module = clocked = Clocked()
        due = {}
        for n in range(300):
            delay = 0.0101 + n * 0.00037
            due[n] = node.node.core.clock() + delay
            node.node.core.gateway_actions.set_timer(messages.SetTimer(delay, n))
        await clocked.done.wait()
        assert clocked.early == []


@on_loop
async def test_stop_when_requests_are_in_flight_then_completes_them_and_closes(tmp_path):
    async with EmulatedHost(answer=None) as host, Node(host, path=tmp_path) as node:
        _, idle_writer = idle = await node.connect()
        reader, writer = await node.connect()
        writer.write(command(b"before"))
        await host.arrived.get()
        ending = asyncio.create_task(node.node.stop())
        await asyncio.sleep(0)
        late_reader, late_writer = await node.connect()  # connections still come for a while
        late_writer.write(command(b"after"))
        while (got := await host.arrived.get()) is None or got[2] != b"after":
            pass
        assert await read_reply(idle[0]) == b""  # idle ones are closed, busy ones not yet
        assert not ending.done()
        for out in host.writers:
            out.write(VALUE)
        assert await read_reply(reader) == SERVED and await read_reply(late_reader) == SERVED
        assert await read_reply(reader) == b"" and await read_reply(late_reader) == b""
        await ending
        with pytest.raises(OSError):
            await node.connect()


@on_loop
async def test_stop_when_the_kernel_took_a_connection_just_before_then_serves_it(tmp_path, monkeypatch):
    """A connection that comes with its request in the last turn before the close: nobody has accepted it."""
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        sleep, came = asyncio.sleep, []

        async def last_turn(seconds, *rest):
            if seconds != 0.25:
                return await sleep(seconds, *rest)
            came.append(socket.create_connection(("127.0.0.1", node.port)))  # no turn of the loop after it
            came[0].sendall(command())

        monkeypatch.setattr(asyncio, "sleep", last_turn)
        await node.node.stop(0.25)
        assert await asyncio.to_thread(came[0].recv, 100) == SERVED
        came[0].close()


@on_loop
async def test_hedged_request_where_it_is_not_allowed_then_is_not_sent(tmp_path):
    async with EmulatedHost(None) as one, EmulatedHost() as two, Node(one, two, path=tmp_path) as node:

        class Doubler:
            results = []

            def handle(self, now, event):
                if isinstance(event, messages.Request):
                    return [
                        messages.ForwardRequest(event.request_id, "h1"),
                        messages.ForwardRequest(event.request_id, "h2"),
                    ]
                if isinstance(event, messages.AttemptOutcome):
                    self.results.append(event.result)
                    return [messages.Fail(event.request_id)]
                return []

        node.node.core.module = Doubler()
        assert (await node.ask(command())).startswith(b"-ERR")
        assert Doubler.results[0] == "moot" and not two.commands


@pytest.mark.parametrize("turned_away", [False, True], ids=["refuses connections", "turns requests away"])
@on_loop
async def test_host_that_fails_at_once_then_does_not_attract_what_waits_for_a_busy_one(turned_away, tmp_path):
    asked = 8  # twice what the sound host may get at once
    async with HeldHost() as sound, EmulatedHost(answer=b"-BUSY\r\n") as failing:
        async with Node(sound, failing, path=tmp_path) as node:
            if not turned_away:
                failing.server.close()  # its process died, and the list does not tell it yet
            module, tried, came = node.node.core.module.handle, [], []
            # The pause after a failure is short and ends while the machine stalls. By this clock, which
            # gains 1 ms with each event, it lasts over the same events on any machine.
            clock = itertools.count(node.node.core.clock(), 0.001)

            def handle(now, event):
                came.extend([event] * isinstance(event, messages.Request))
                actions = module(next(clock), event)
                tried.extend(
                    a for a in actions if isinstance(a, messages.ForwardRequest) and a.endpoint_id == "h2"
                )
                return actions

            node.node.core.module.handle = handle
            asks = [asyncio.ensure_future(node.ask(command(b"r%d" % n))) for n in range(asked)]
            while len(came) < asked or not sound.commands:
                await asyncio.sleep(0)
            sound.release(VALUE)
            replies = await asyncio.gather(*asks)
            assert replies == [SERVED] * asked
            assert len(tried) < asked / 2

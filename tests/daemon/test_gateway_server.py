"""A gateway server in this process: one answer for each request, failures of the module, timers, the stop."""

import asyncio
import itertools
import logging
import socket
import time

import pytest
from gateway_harness import (
    VALUE,
    VALUE_REPLY,
    DeferredReplyHost,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_fields,
    make_write_command,
    read_reply,
    run_on_uvloop,
)

from apigateway import messages
from apigateway.core import deadlines


@run_on_uvloop
async def test_request_when_the_host_answers_then_gets_its_value_unchanged(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        host.answer = b"*3\r\n$6\r\na\r\nb\x00c\r\n:42\r\n$18\r\nactive=1,waiting=0\r\n"
        assert await harness.send_command(make_command()) == b"$6\r\na\r\nb\x00c\r\n"
        assert host.commands[0][:3] == [b"API.READ", b"00000000b4d65521", b"r1"]
        fields = dict(f.split(b"=") for f in host.commands[0][3].split(b","))
        assert 0 < int(fields.pop(b"d")) < 3000  # as long as the gateway waits, less than the client does
        assert fields == {b"c": b"read", b"t": b"p", b"units": b"1", b"spread": b"1", b"first": b"0"}


@run_on_uvloop
async def test_request_when_the_host_is_silent_then_fails_before_the_client_gives_up(tmp_path, monkeypatch):
    monkeypatch.setattr(deadlines, "RESPONSE_MARGIN_S", 2.0)  # a margin that no busy machine eats up
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        began = time.monotonic()
        assert (
            await harness.send_command(make_write_command(service_class=b"note", wait_ms=2300))
        ).startswith(b"-ERR")  # it may have run: no refusal
        assert time.monotonic() - began < 2.3
        assert len(host.commands) == 1


@run_on_uvloop
async def test_rejection_when_over_quota_then_tells_retry_after_at_once(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        small, replies = make_fields(t="small"), []
        began = time.monotonic()
        for n in range(4):
            replies.append(await harness.send_command(make_command(b"r%d" % n, fields=small)))
        assert replies[0] == VALUE_REPLY and replies[-1].startswith(b"-BUSY ")
        assert 0 < int(replies[-1].split()[1]) <= 2000
        assert time.monotonic() - began < 3.0


@run_on_uvloop
async def test_decision_module_when_it_raises_then_only_that_request_fails(tmp_path, caplog):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        module, real = harness.server.core.module, harness.server.core.module.handle

        class Broken:
            def handle(self, now, event):
                if getattr(event, "request_id", "") == "bad":
                    raise RuntimeError("broken")
                return real(now, event)

        harness.server.core.module = Broken()
        with caplog.at_level(logging.CRITICAL):
            assert await harness.send_command(make_command(b"bad")) == b"-ERR failed\r\n"
            assert await harness.send_command(make_command(b"good")) == VALUE_REPLY
        assert module.pending == {} and not harness.server.core.in_flight


@run_on_uvloop
async def test_decision_module_when_it_says_nothing_then_the_request_fails_in_time(tmp_path, monkeypatch):
    monkeypatch.setattr(deadlines, "DEADLINE_GUARD_MARGIN_S", 2.0)  # as above
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:

        class Mute:
            def handle(self, now, event):
                return []

        harness.server.core.module = Mute()
        began = time.monotonic()
        assert await harness.send_command(make_command(fields=make_fields(d="2300"))) == b"-ERR failed\r\n"
        assert time.monotonic() - began < 2.3


@run_on_uvloop
async def test_timer_never_reaches_the_decision_module_early(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:

        class Clocked:
            def __init__(self):
                self.early, self.seen, self.done = [], 0, asyncio.Event()

            def handle(self, now, event):
                self.early += [now - due[event.label]] if now < due[event.label] else []
                self.seen += 1
                if self.seen == len(due):
                    self.done.set()
                return []

        harness.server.core.module = clocked = Clocked()
        due = {}
        for n in range(300):
            delay = 0.0101 + n * 0.00037
            due[n] = harness.server.core.clock() + delay
            harness.server.core.gateway_actions.set_timer(messages.SetTimer(delay, n))
        await clocked.done.wait()
        assert clocked.early == []


@run_on_uvloop
async def test_stop_when_requests_are_in_flight_then_completes_them_and_closes(tmp_path):
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        _, idle_writer = idle = await harness.connect()
        reader, writer = await harness.connect()
        writer.write(make_command(b"before"))
        await host.arrived.get()
        ending = asyncio.create_task(harness.server.stop())
        await asyncio.sleep(0)
        late_reader, late_writer = await harness.connect()  # connections still come for a while
        late_writer.write(make_command(b"after"))
        while (got := await host.arrived.get()) is None or got[2] != b"after":
            pass
        assert await read_reply(idle[0]) == b""  # idle ones are closed, busy ones not yet
        assert not ending.done()
        for out in host.writers:
            out.write(VALUE)
        assert await read_reply(reader) == VALUE_REPLY and await read_reply(late_reader) == VALUE_REPLY
        assert await read_reply(reader) == b"" and await read_reply(late_reader) == b""
        await ending
        with pytest.raises(OSError):
            await harness.connect()


@run_on_uvloop
async def test_stop_when_the_kernel_took_a_connection_just_before_then_serves_it(tmp_path, monkeypatch):
    """A connection that comes with its request in the last turn before the close: nobody has accepted it."""
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        sleep, came = asyncio.sleep, []

        async def last_turn(seconds, *rest):
            if seconds != 0.25:
                return await sleep(seconds, *rest)
            came.append(socket.create_connection(("127.0.0.1", harness.port)))  # no turn of the loop after it
            came[0].sendall(make_command())

        monkeypatch.setattr(asyncio, "sleep", last_turn)
        await harness.server.stop(0.25)
        assert await asyncio.to_thread(came[0].recv, 100) == VALUE_REPLY
        came[0].close()


@run_on_uvloop
async def test_hedged_request_where_it_is_not_allowed_then_is_not_sent(tmp_path):
    async with (
        EmulatedHost(None) as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):

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

        harness.server.core.module = Doubler()
        assert (await harness.send_command(make_command())).startswith(b"-ERR")
        assert Doubler.results[0] == "moot" and not two.commands


@pytest.mark.parametrize("turned_away", [False, True], ids=["refuses connections", "turns requests away"])
@run_on_uvloop
async def test_host_that_fails_at_once_then_does_not_attract_what_waits_for_a_busy_one(turned_away, tmp_path):
    asked = 8  # twice what the sound host may get at once
    async with DeferredReplyHost() as sound, EmulatedHost(answer=b"-BUSY\r\n") as failing:
        async with GatewayHarness(sound, failing, path=tmp_path) as harness:
            if not turned_away:
                failing.server.close()  # its process died, and the list does not tell it yet
            module, tried, came = harness.server.core.module.handle, [], []
            # The pause after a failure is short and ends while the machine stalls. By this clock, which
            # gains 1 ms with each event, it lasts over the same events on any machine.
            clock = itertools.count(harness.server.core.clock(), 0.001)

            def handle(now, event):
                came.extend([event] * isinstance(event, messages.Request))
                actions = module(next(clock), event)
                tried.extend(
                    a for a in actions if isinstance(a, messages.ForwardRequest) and a.endpoint_id == "h2"
                )
                return actions

            harness.server.core.module.handle = handle
            asks = [
                asyncio.ensure_future(harness.send_command(make_command(b"r%d" % n))) for n in range(asked)
            ]
            while len(came) < asked or not sound.commands:
                await asyncio.sleep(0)
            sound.release(VALUE)
            replies = await asyncio.gather(*asks)
            assert replies == [VALUE_REPLY] * asked
            assert len(tried) < asked / 2

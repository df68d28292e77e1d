"""Test a gateway server in this process: responses, decision module failures, timers and shutdown."""

import asyncio
import itertools
import logging
import socket

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
from late_loop import hold_up_loop

from apigateway import messages
from apigateway.core import deadlines


@run_on_uvloop
async def test_request_when_the_host_answers_then_gets_its_value_unchanged(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        host.answer = b"*3\r\n$6\r\na\r\nb\x00c\r\n:42\r\n$18\r\nactive=1,waiting=0\r\n"
        assert await harness.send_command(make_command()) == b"$6\r\na\r\nb\x00c\r\n"
        assert host.commands[0][:3] == [b"API.READ", b"00000000b4d65521", b"r1"]
        fields = dict(field.split(b"=") for field in host.commands[0][3].split(b","))
        assert 0 < int(fields.pop(b"d")) < 3000  # the gateway's timeout, shorter than the client's
        assert fields == {b"c": b"read", b"t": b"p", b"units": b"1", b"spread": b"1", b"first": b"0"}


@run_on_uvloop
async def test_request_when_the_host_is_silent_then_fails_before_the_client_gives_up(tmp_path, monkeypatch):
    monkeypatch.setattr(deadlines, "RESPONSE_MARGIN_S", 2.0)  # large enough for a busy machine
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        async with asyncio.timeout(2.3):  # when the client gives up
            reply = await harness.send_command(make_write_command(service_class=b"note", wait_ms=2300))
        assert reply.startswith(b"-ERR")  # not a rejection, since it may have been executed
        assert len(host.commands) == 1


@run_on_uvloop
async def test_request_when_over_quota_then_is_rejected_at_once_with_retry_after(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        small_plan_fields, replies = make_fields(t="small"), []
        async with asyncio.timeout(3.0):  # when the first client would give up
            for number in range(4):
                replies.append(
                    await harness.send_command(make_command(b"r%d" % number, fields=small_plan_fields))
                )
        assert replies[0] == VALUE_REPLY and replies[-1].startswith(b"-BUSY ")
        assert 0 < int(replies[-1].split()[1]) <= 2000


@run_on_uvloop
async def test_decision_module_when_it_raises_then_only_that_request_fails(tmp_path, caplog):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        module, handle = harness.server.core.module, harness.server.core.module.handle

        class FailingModule:
            def handle(self, now, event):
                if getattr(event, "request_id", "") == "bad":
                    raise RuntimeError("broken")
                return handle(now, event)

        harness.server.core.module = FailingModule()
        with caplog.at_level(logging.CRITICAL):
            assert await harness.send_command(make_command(b"bad")) == b"-ERR failed\r\n"
            assert await harness.send_command(make_command(b"good")) == VALUE_REPLY
        assert module.pending == {} and not harness.server.core.in_flight


@run_on_uvloop
async def test_decision_module_when_it_returns_no_action_then_the_request_fails_in_time(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(deadlines, "DEADLINE_GUARD_MARGIN_S", 2.0)  # large enough for a busy machine
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:

        class SilentModule:
            def handle(self, now, event):
                return []

        harness.server.core.module = SilentModule()
        async with asyncio.timeout(2.3):  # when the client gives up
            reply = await harness.send_command(make_command(fields=make_fields(d="2300")))
        assert reply == b"-ERR failed\r\n"


@run_on_uvloop
async def test_timer_never_reaches_the_decision_module_early(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:

        class TimerRecorder:
            def __init__(self):
                self.early_by, self.timer_count, self.done = [], 0, asyncio.Event()

            def handle(self, now, event):
                self.early_by += [now - due_at[event.label]] if now < due_at[event.label] else []
                self.timer_count += 1
                if self.timer_count == len(due_at):
                    self.done.set()
                return []

        harness.server.core.module = recorder = TimerRecorder()
        due_at = {}
        for number in range(300):
            delay = 0.0101 + number * 0.00037
            due_at[number] = harness.server.core.clock() + delay
            harness.server.core.gateway_actions.set_timer(messages.SetTimer(delay, number))
        await recorder.done.wait()
        assert recorder.early_by == []


@run_on_uvloop
async def test_stop_when_requests_are_in_flight_then_completes_them_and_closes(tmp_path):
    async with EmulatedHost(answer=None) as host, GatewayHarness(host, path=tmp_path) as harness:
        _, idle_writer = idle = await harness.connect()
        reader, writer = await harness.connect()
        writer.write(make_command(b"before"))
        await host.arrivals.get()
        stop_task = asyncio.create_task(harness.server.stop())
        await asyncio.sleep(0)
        late_reader, late_writer = await harness.connect()  # accepted while the gateway lingers
        late_writer.write(make_command(b"after"))
        while (received := await host.arrivals.get()) is None or received[2] != b"after":
            pass
        assert await read_reply(idle[0]) == b""  # idle connections are closed, busy ones not yet
        assert not stop_task.done()
        for host_writer in host.writers:
            host_writer.write(VALUE)
        assert await read_reply(reader) == VALUE_REPLY and await read_reply(late_reader) == VALUE_REPLY
        assert await read_reply(reader) == b"" and await read_reply(late_reader) == b""
        await stop_task
        with pytest.raises(OSError):
            await harness.connect()


@run_on_uvloop
async def test_stop_when_a_connection_waits_in_the_listen_queue_then_serves_it(tmp_path, monkeypatch):
    """The connection and its request arrive just before the close, so the gateway has not accepted it yet."""
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        sleep, clients = asyncio.sleep, []
        linger_s = 0.2625  # nothing else sleeps for this time

        async def connect_before_close(seconds, *rest):
            if seconds != linger_s:
                return await sleep(seconds, *rest)
            # The loop does not run between this connection and the close.
            clients.append(socket.create_connection(("127.0.0.1", harness.port)))
            clients[0].sendall(make_command())

        monkeypatch.setattr(asyncio, "sleep", connect_before_close)
        await harness.server.stop(linger_s)
        assert await asyncio.to_thread(clients[0].recv, 100) == VALUE_REPLY
        clients[0].close()


@run_on_uvloop
async def test_hedged_attempt_when_hedging_is_not_allowed_then_is_not_sent(tmp_path):
    async with (
        EmulatedHost(None) as first_host,
        EmulatedHost() as second_host,
        GatewayHarness(first_host, second_host, path=tmp_path) as harness,
    ):

        class HedgingModule:
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

        harness.server.core.module = HedgingModule()
        assert (await harness.send_command(make_command())).startswith(b"-ERR")
        assert HedgingModule.results[0] == "moot" and not second_host.commands


@pytest.mark.parametrize("rejects_requests", [False, True], ids=["refuses connections", "rejects requests"])
@run_on_uvloop
async def test_host_that_fails_at_once_then_does_not_attract_requests_waiting_for_a_busy_host(
    rejects_requests, tmp_path
):
    request_count = 8  # twice the healthy host's concurrency limit
    async with DeferredReplyHost() as healthy, EmulatedHost(answer=b"-BUSY\r\n") as failing:
        async with GatewayHarness(healthy, failing, path=tmp_path) as harness:
            if not rejects_requests:
                failing.server.close()  # its process died, but the endpoint list still has it
            handle_event, failing_attempts, requests = harness.server.core.module.handle, [], []
            # The backoff after a failure is short and could end while the machine stalls. This clock advances
            # by 1 ms with each event, so the backoff covers the same events on any machine.
            clock = itertools.count(harness.server.core.clock(), 0.001)

            def handle(now, event):
                requests.extend([event] * isinstance(event, messages.Request))
                actions = handle_event(next(clock), event)
                failing_attempts.extend(
                    action
                    for action in actions
                    if isinstance(action, messages.ForwardRequest) and action.endpoint_id == "h2"
                )
                return actions

            harness.server.core.module.handle = handle
            reply_tasks = [
                asyncio.ensure_future(harness.send_command(make_command(b"r%d" % number)))
                for number in range(request_count)
            ]
            while len(requests) < request_count or not healthy.commands:
                await asyncio.sleep(0)
            healthy.release(VALUE)
            replies = await asyncio.gather(*reply_tasks)
            assert replies == [VALUE_REPLY] * request_count
            assert len(failing_attempts) < request_count / 2


# Guards against connections reset in a shutdown because the loop was too slow to accept them all in 0.1 s.
@run_on_uvloop
async def test_stop_when_a_slow_loop_has_many_connections_in_the_listen_queue_then_serves_all(
    tmp_path, monkeypatch
):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        loop, sleep, clients = asyncio.get_running_loop(), asyncio.sleep, []
        linger_s = 0.2625  # nothing else sleeps for this time

        def slow_down(iterations):
            """Let each iteration of the loop take longer."""
            hold_up_loop(0.005)
            if iterations > 1:
                loop.call_soon(slow_down, iterations - 1)

        async def connect_before_close(seconds, *rest):
            if seconds != linger_s:
                return await sleep(seconds, *rest)
            for number in range(40):
                client = socket.create_connection(("127.0.0.1", harness.port))
                client.sendall(make_command(b"r%d" % number))
                client.setblocking(False)
                clients.append(client)
            slow_down(60)

        monkeypatch.setattr(asyncio, "sleep", connect_before_close)
        await harness.server.stop(linger_s)
        assert [await loop.sock_recv(client, 100) for client in clients] == [VALUE_REPLY] * 40
        for client in clients:
            client.close()

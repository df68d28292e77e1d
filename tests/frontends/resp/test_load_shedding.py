"""Tests of early rejections and deferred commands over sockets.

The tests control the overload gate and the event loop iterations.
"""

import asyncio

from gateway_harness import (
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_fields,
    make_write_command,
    read_reply,
    run_on_uvloop,
)

from apigateway.core import input_scheduler
from apigateway.core.admission import AdmissionController
from apigateway.frontends.read_buffer import READ_BYTES
from apigateway.policy.overload_gate import MAX_STEP, OverloadGate


class ScriptedGate(OverloadGate):
    """An overload gate that sheds the requests of given customers."""

    def __init__(self, *customers, retry_after=0.25):
        super().__init__(0.01, 10.0, 2.0, 1)
        self.customers, self.retry_after, self.call_count = customers, retry_after, 0

    def retry_after_if_shed(self, now, waited, step, customer, remaining):
        self.call_count += 1
        return self.retry_after if customer in self.customers else -1.0


def install_admission(harness, gate):
    harness.server.core.admission = AdmissionController(gate, harness.server.loop)
    for frontend in harness.server.frontends:
        frontend.update_admission()
    return harness.server.core.admission


def use_up_time_slices(monkeypatch):
    """Let each connection handle one command in its turn, and all turns be later ones."""
    monkeypatch.setattr(input_scheduler, "SLICE_TIME_S", 0.0)
    monkeypatch.setattr(input_scheduler, "IMMEDIATE_TIME_S", -1.0)


CUSTOMER_A, CUSTOMER_B = "00000000000000aa", "00000000000000bb"


@run_on_uvloop
async def test_responses_keep_their_order_among_rejections(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        install_admission(harness, ScriptedGate(CUSTOMER_A))
        reader, writer = await harness.connect()
        customers = [CUSTOMER_B, CUSTOMER_A, CUSTOMER_A, CUSTOMER_B, CUSTOMER_A, CUSTOMER_B]
        writer.write(
            b"".join(
                make_command(b"r%d" % n, customer=customer.upper().encode())
                for n, customer in enumerate(customers)
            )
        )
        replies = [await read_reply(reader) for _ in customers]
        assert replies == [
            VALUE_REPLY if customer == CUSTOMER_B else b"-BUSY 250\r\n" for customer in customers
        ]
        assert len(host.commands) == 3  # rejected commands are not forwarded
        writer.write(b"*1\r\n$4\r\nPING\r\n" + make_command(b"x", b"nonsense", customer=CUSTOMER_A.encode()))
        assert await read_reply(reader) == b"+PONG\r\n"
        assert (await read_reply(reader)).startswith(b"-ERR missing")


@run_on_uvloop
async def test_commands_with_reordered_fields_are_shed_too(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        install_admission(harness, gate := ScriptedGate(CUSTOMER_A))
        reordered_fields = b"units=1,spread=1,first=0,d=3000,t=p,c=read"
        assert (
            await harness.send_command(make_command(b"a", reordered_fields, customer=CUSTOMER_A.encode()))
            == b"-BUSY 250\r\n"
        )
        assert (
            await harness.send_command(make_command(b"b", reordered_fields, customer=CUSTOMER_B.encode()))
            == VALUE_REPLY
        )
        assert gate.call_count == 2


@run_on_uvloop
async def test_duplicate_of_a_request_in_flight_is_not_shed(tmp_path):
    async with EmulatedHost(answer=lambda: None) as host, GatewayHarness(host, path=tmp_path) as harness:
        install_admission(harness, gate := ScriptedGate())
        _, writer = await harness.connect()
        writer.write(make_write_command(b"w"))
        await host.arrivals.get()
        gate.customers = ("00000000b4d65521",)
        assert await harness.send_command(make_write_command(b"w")) == b"-ERR this id is in work\r\n"
        assert await harness.send_command(make_write_command(b"v")) == b"-BUSY 250\r\n"


@run_on_uvloop
async def test_flood_of_commands_is_deferred_and_completely_answered(tmp_path, monkeypatch):
    use_up_time_slices(monkeypatch)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        install_admission(harness, ScriptedGate(CUSTOMER_A))
        connections = [await harness.connect() for _ in range(4)]
        for connection_number, (_, writer) in enumerate(connections):
            writer.write(
                b"".join(
                    make_command(b"%d-%d" % (connection_number, n), customer=CUSTOMER_A.encode())
                    for n in range(300)
                )
                + make_command(b"%d-last" % connection_number, customer=CUSTOMER_B.encode())
            )
        for reader, _ in connections:
            for _ in range(300):
                assert await read_reply(reader) == b"-BUSY 250\r\n"
            assert await read_reply(reader) == VALUE_REPLY
        assert not harness.server.core.input_scheduler.queue_length
        reader, writer = connections[0]
        writer.write(make_command(b"more", customer=CUSTOMER_B.encode()))  # the connection is read again
        assert await read_reply(reader) == VALUE_REPLY


@run_on_uvloop
async def test_framing_error_and_disconnect_of_deferred_connections_do_not_affect_others(
    tmp_path, monkeypatch
):
    use_up_time_slices(monkeypatch)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        install_admission(harness, ScriptedGate(CUSTOMER_A))
        (reader, writer), (_, leaving_writer) = await harness.connect(), await harness.connect()
        flood = b"".join(make_command(b"f%d" % n, customer=CUSTOMER_A.encode()) for n in range(50))
        leaving_writer.write(flood + make_command(b"gone", customer=CUSTOMER_B.encode()))
        writer.write(flood + b"!nonsense\r\n")
        leaving_writer.transport.abort()
        replies = [await read_reply(reader) for _ in range(51)]
        assert set(replies[:50]) == {b"-BUSY 250\r\n"} and replies[50] == b"-ERR protocol error\r\n"
        assert await reader.read() == b""
        assert await harness.send_command(make_command(b"after", customer=CUSTOMER_B.encode())) == VALUE_REPLY
        assert not harness.server.core.input_scheduler.queue_length
        assert harness.server.frontends[0].server.partial_bytes == 0


@run_on_uvloop
async def test_deferred_commands_are_answered_during_shutdown(tmp_path, monkeypatch):
    use_up_time_slices(monkeypatch)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        install_admission(harness, ScriptedGate())
        reader, writer = await harness.connect()
        scheduler = harness.server.core.input_scheduler
        run_turn = scheduler.run_turn
        # No turn begins until the test begins one.
        monkeypatch.setattr(scheduler, "run_turn", lambda: None)
        writer.write(b"".join(make_command(b"s%d" % n) for n in range(30)))
        while not scheduler.queue_length:
            await asyncio.sleep(0)
        harness.server.frontends[0].start_draining()  # as on SIGTERM: received commands must not be lost
        monkeypatch.setattr(scheduler, "run_turn", run_turn)
        run_turn()
        replies = [await read_reply(reader) for _ in range(30)]
        # The decision module limits the number of waiting requests.
        assert VALUE_REPLY in replies and set(replies) <= {VALUE_REPLY, b"-BUSY\r\n"}
        assert await reader.read() == b""


# Guards against a client whose deferred commands take more memory with every byte that it sends.
@run_on_uvloop
async def test_connection_with_deferred_commands_is_not_read(tmp_path, monkeypatch):
    use_up_time_slices(monkeypatch)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        install_admission(harness, ScriptedGate(CUSTOMER_A))
        scheduler, server = harness.server.core.input_scheduler, harness.server.frontends[0].server
        run_turn = scheduler.run_turn
        monkeypatch.setattr(scheduler, "run_turn", lambda: None)
        reader, writer = await harness.connect()
        count = 1000
        writer.write(b"".join(make_command(b"m%d" % n, customer=CUSTOMER_A.encode()) for n in range(count)))
        while not scheduler.queue_length:
            await asyncio.sleep(0)
        (connection,) = server.connections
        assert connection.is_read_paused and connection.has_unread_data()
        assert len(connection.framing.buffer) <= READ_BYTES and server.partial_bytes <= READ_BYTES
        monkeypatch.setattr(scheduler, "run_turn", run_turn)
        run_turn()
        for _ in range(count):
            assert await read_reply(reader) == b"-BUSY 250\r\n"


@run_on_uvloop
async def test_customer_rejected_by_the_module_is_rejected_early(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        gate = OverloadGate(0.01, 10.0, 2.0, 1)
        # Overloaded, but every request has enough priority.
        gate.admitted_share, gate.priority_floor = 0.9, -MAX_STEP - 1
        install_admission(harness, gate)
        customer = b"00000000000000cc"
        reply = b""
        for n in range(200):
            reply = await harness.send_command(
                make_command(b"q%d" % n, make_fields(t="small"), customer=customer)
            )
            if reply != VALUE_REPLY:
                break
        assert reply.startswith(b"-BUSY ")
        events = []
        handle = harness.server.core.module.handle
        harness.server.core.module.handle = lambda now, event: events.append(event) or handle(now, event)
        second_reply = await harness.send_command(
            make_command(b"again", make_fields(t="small"), customer=customer)
        )
        second_events = [event for event in events if getattr(event, "request_id", "") == "again"]
        assert second_reply.startswith(b"-BUSY ") and not second_events

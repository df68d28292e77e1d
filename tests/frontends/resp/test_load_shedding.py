"""Early rejections and commands that wait their turn, over sockets.

The gate and the end of a turn are the test's.
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

from apigateway.core import admission as core_admission
from apigateway.core.admission import AdmissionController
from apigateway.policy.overload_gate import MAX_STEP, OverloadGate


class ScriptedGate(OverloadGate):
    """Turns away what the test names."""

    def __init__(self, *customers, wait=0.25):
        super().__init__(0.01, 10.0, 2.0, 1)
        self.customers, self.wait, self.asked = customers, wait, 0

    def retry_after_if_shed(self, now, waited, step, customer, remaining):
        self.asked += 1
        return self.wait if customer in self.customers else -1.0


def install_admission(harness, gate):
    harness.server.core.admission = AdmissionController(gate, harness.server.loop)
    for front in harness.server.frontends:
        front.update_admission()
    return harness.server.core.admission


A, B = "00000000000000aa", "00000000000000bb"


@run_on_uvloop
async def test_responses_keep_their_order_among_rejections(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        install_admission(harness, ScriptedGate(A))
        reader, writer = await harness.connect()
        asked = [B, A, A, B, A, B]
        writer.write(
            b"".join(make_command(b"r%d" % n, customer=c.upper().encode()) for n, c in enumerate(asked))
        )
        told = [await read_reply(reader) for _ in asked]
        assert told == [VALUE_REPLY if c == B else b"-BUSY 250\r\n" for c in asked]
        assert len(host.commands) == 3  # what is turned away goes nowhere
        writer.write(b"*1\r\n$4\r\nPING\r\n" + make_command(b"x", b"nonsense", customer=A.encode()))
        assert await read_reply(reader) == b"+PONG\r\n"
        assert (await read_reply(reader)).startswith(b"-ERR missing")


@run_on_uvloop
async def test_fields_in_another_order_are_asked_about_too(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        install_admission(harness, gate := ScriptedGate(A))
        odd = b"units=1,spread=1,first=0,d=3000,t=p,c=read"
        assert await harness.send_command(make_command(b"a", odd, customer=A.encode())) == b"-BUSY 250\r\n"
        assert await harness.send_command(make_command(b"b", odd, customer=B.encode())) == VALUE_REPLY
        assert gate.asked == 2


@run_on_uvloop
async def test_an_id_in_flight_is_not_told_that_it_has_not_run(tmp_path):
    async with EmulatedHost(answer=lambda: None) as host, GatewayHarness(host, path=tmp_path) as harness:
        install_admission(harness, gate := ScriptedGate())
        _, writer = await harness.connect()
        writer.write(make_write_command(b"w"))
        await host.arrivals.get()
        gate.customers = ("00000000b4d65521",)
        assert await harness.send_command(make_write_command(b"w")) == b"-ERR this id is in work\r\n"
        assert await harness.send_command(make_write_command(b"v")) == b"-BUSY 250\r\n"


@run_on_uvloop
async def test_a_flood_waits_its_turn_and_all_of_it_is_answered(tmp_path, monkeypatch):
    monkeypatch.setattr(core_admission, "READ_TIME_SLICE_S", 0.0)  # a turn is over after its second command
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        admission = install_admission(harness, ScriptedGate(A))
        lines = [await harness.connect() for _ in range(4)]
        for k, (_, writer) in enumerate(lines):
            writer.write(
                b"".join(make_command(b"%d-%d" % (k, n), customer=A.encode()) for n in range(300))
                + make_command(b"%d-last" % k, customer=B.encode())
            )
        for reader, _ in lines:
            for _ in range(300):
                assert await read_reply(reader) == b"-BUSY 250\r\n"
            assert await read_reply(reader) == VALUE_REPLY
        assert (
            not admission.deferred_connections
            and not admission.is_time_slice_used_up
            or admission.time_slice_started_at
        )
        reader, writer = lines[0]
        writer.write(make_command(b"more", customer=B.encode()))  # it is read again
        assert await read_reply(reader) == VALUE_REPLY


@run_on_uvloop
async def test_lost_framing_and_a_client_that_leaves_while_it_is_deferred_end_alone(tmp_path, monkeypatch):
    monkeypatch.setattr(core_admission, "READ_TIME_SLICE_S", 0.0)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        admission = install_admission(harness, ScriptedGate(A))
        (reader, writer), (_, leaving) = await harness.connect(), await harness.connect()
        flood = b"".join(make_command(b"f%d" % n, customer=A.encode()) for n in range(50))
        leaving.write(flood + make_command(b"gone", customer=B.encode()))
        writer.write(flood + b"!nonsense\r\n")
        leaving.transport.abort()
        told = [await read_reply(reader) for _ in range(51)]
        assert set(told[:50]) == {b"-BUSY 250\r\n"} and told[50] == b"-ERR protocol error\r\n"
        assert await reader.read() == b""
        assert await harness.send_command(make_command(b"after", customer=B.encode())) == VALUE_REPLY
        assert not admission.deferred_connections and harness.server.frontends[0].server.partial_bytes == 0


@run_on_uvloop
async def test_deferred_commands_when_the_gateway_stops_are_answered(tmp_path, monkeypatch):
    monkeypatch.setattr(core_admission, "READ_TIME_SLICE_S", 0.0)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        admission = install_admission(harness, ScriptedGate())
        reader, writer = await harness.connect()
        held = []
        turned = admission.start_iteration
        monkeypatch.setattr(
            admission, "start_iteration", lambda: held.append(1)
        )  # turns end when the test says so
        writer.write(b"".join(make_command(b"s%d" % n) for n in range(30)))
        while not admission.deferred_connections:
            await asyncio.sleep(0)
        harness.server.frontends[0].start_draining()  # as at SIGTERM: what was read is not forgotten
        monkeypatch.setattr(admission, "start_iteration", turned)
        admission.start_iteration()
        told = [await read_reply(reader) for _ in range(30)]
        assert VALUE_REPLY in told and set(told) <= {
            VALUE_REPLY,
            b"-BUSY\r\n",
        }  # the module's own bound on what waits
        assert await reader.read() == b""


@run_on_uvloop
async def test_deferred_commands_when_they_are_too_many_bytes_are_taken_at_once(tmp_path, monkeypatch):
    monkeypatch.setattr(core_admission, "READ_TIME_SLICE_S", 0.0)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        admission = install_admission(harness, ScriptedGate(A))
        harness.server.frontends[0].server.max_partial_bytes = 1000  # bytes: half of it may wait
        monkeypatch.setattr(admission, "start_iteration", lambda: None)
        reader, writer = await harness.connect()
        writer.write(b"".join(make_command(b"m%d" % n, customer=A.encode()) for n in range(100)))
        for _ in range(90):
            assert await read_reply(reader) == b"-BUSY 250\r\n"


@run_on_uvloop
async def test_a_customer_that_the_module_rejected_is_rejected_early(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        gate = OverloadGate(0.01, 10.0, 2.0, 1)
        gate.admitted_share, gate.priority_floor = 0.9, -MAX_STEP - 1  # overload: all are worth enough
        install_admission(harness, gate)
        customer = b"00000000000000cc"
        told = b""
        for n in range(200):
            told = await harness.send_command(
                make_command(b"q%d" % n, make_fields(t="small"), customer=customer)
            )
            if told != VALUE_REPLY:
                break
        assert told.startswith(b"-BUSY ")
        events = []
        handle = harness.server.core.module.handle
        harness.server.core.module.handle = lambda now, event: events.append(event) or handle(now, event)
        again = await harness.send_command(make_command(b"again", make_fields(t="small"), customer=customer))
        events_of_again = [event for event in events if getattr(event, "request_id", "") == "again"]
        assert again.startswith(b"-BUSY ") and not events_of_again

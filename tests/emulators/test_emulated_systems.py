"""The emulated systems follow their scripts, and the ledger records what passes on their sockets."""

import asyncio

import aiohttp
import pytest
from gateway_harness import make_command, read_reply, run_on_uvloop

from apigateway.emulators.clients import Client, ClientRequest
from apigateway.emulators.counter import EmulatedCounter
from apigateway.emulators.discovery import EmulatedDiscovery
from apigateway.emulators.hosts import EmulatedHost
from apigateway.emulators.ledger import RULES, ClassRules, Ledger, RuleLimits
from apigateway.emulators.listener import Listener
from apigateway.emulators.script import Script, Step

LIMITS = RuleLimits({"read": ClassRules("safe"), "note": ClassRules("unsafe")})


async def exchange(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return await reader.read() if data == b"" else await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError as err:
        return err.partial
    except ConnectionResetError:
        return b"reset"
    finally:
        writer.close()


@pytest.mark.parametrize(
    "step, answer",
    [
        (Step(), b"*3\r\n"),
        (Step("busy"), b"-BUSY\r\n"),
        (Step("error"), b"-ERR failed\r\n"),
        (Step("spoilt"), b"?what\r\n"),
        (Step("half"), b"*3\r\n"),
        (Step("stall", delay_s=0.01), b"*3\r\n"),
        (Step("slow", work_factor=2.0), b"*3\r\n"),
    ],
)
@run_on_uvloop
async def test_host_follows_its_script(step, answer):
    async with EmulatedHost(script=Script([step]), work=lambda _: 0.001) as host:
        assert await exchange(host.port, make_command()) == answer


@run_on_uvloop
async def test_host_script_with_reset_and_silent_steps():
    async with EmulatedHost(script=Script([Step("reset", count=1), Step("silent", count=1)])) as host:
        assert await exchange(host.port, make_command()) in (b"reset", b"")
        reader, writer = await asyncio.open_connection("127.0.0.1", host.port)
        writer.write(make_command(b"a") + make_command(b"b"))
        while len(host.commands) < 3:
            await host.arrivals.get()
        writer.write_eof()
        assert await reader.read() == b""  # answers keep their order, so none follows the silent step


@run_on_uvloop
async def test_host_when_its_cores_and_queue_are_full_then_rejects():
    async with EmulatedHost(work=lambda _: 60.0, cores=1, queue_capacity=1) as host:
        first = [await asyncio.open_connection("127.0.0.1", host.port) for _ in range(2)]
        for n, (_, writer) in enumerate(first):
            writer.write(make_command(b"r%d" % n))
            await host.arrivals.get()
        assert await exchange(host.port, make_command(b"more")) == b"-BUSY\r\n"
        assert await exchange(host.port, b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n") == b"$27\r\n"
        assert host.load_report() == b"active=2,waiting=1,cpu=1.00"
        first[1][1].close()  # queued work is dropped with its connection
        while host.connections > 1:
            await host.arrivals.get()
        assert (host.running, len(host.queued)) == (1, 1)
        first[0][1].close()


@run_on_uvloop
async def test_host_after_a_restart_is_cold_and_has_no_work():
    ledger = Ledger(LIMITS)
    async with EmulatedHost(work=lambda _: 60.0, cold_share=0.2, ledger=ledger) as host:
        reader, writer = await asyncio.open_connection("127.0.0.1", host.port)
        writer.write(make_command())
        await host.arrivals.get()
        assert host.warm_share() == 1.0 and host.running == 1
        await host.restart()
        assert await reader.read() == b""
        assert 0.2 <= host.warm_share() < 0.3 and host.running == 0 and host.entry()["started_ms"] > 0
        assert [start[1] for start in ledger.cold_starts] == [host.name]
        assert [a.end_kind for a in ledger.attempts] == ["closed"]
        writer.close()


@run_on_uvloop
async def test_counter_follows_its_script():
    steps = [
        Step("busy", count=1),
        Step("error", count=1),
        Step("spoilt", count=1),
        Step("half", count=1),
        Step("reset", count=1),
        Step("stall", count=1, delay_s=0.01),
    ]
    async with EmulatedCounter(script=Script(steps)) as counter:
        replies = [await exchange(counter.port, b"incr n 1 60000\r\n") for _ in range(7)]
        assert replies[:4] == [b"busy\r\n", b"error\r\n", b"ok {}\r\n", b"ok"] and replies[4] in (
            b"reset",
            b"",
        )
        assert replies[5:] == [b"ok 4\r\n", b"ok 5\r\n"]  # busy and error add nothing, the other steps do
        assert await exchange(counter.port, b"ping\r\n") == b"pong\r\n"
        assert await exchange(counter.port, b"what\r\n") == b"error\r\n"
        await counter.restart()
        assert await exchange(counter.port, b"incr n 2 1\r\n") == b"ok 2\r\n"
        counter.expires_at[b"n"] = 0.0  # its lifetime has ended
        assert await exchange(counter.port, b"incr n 3 60000\r\n") == b"ok 3\r\n"


@run_on_uvloop
async def test_discovery_sends_changes_to_watches_and_records_them_in_the_ledger():
    ledger = Ledger(LIMITS)
    async with EmulatedDiscovery("g0", ledger) as discovery, aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{discovery.port}/v1/endpoints"
        one = EmulatedHost(name="h1")
        discovery.servers = [one.entry()]

        async def get(**query):
            async with session.get(url, params=query) as answer:
                return await answer.json(content_type=None)

        full_list = await get()
        assert full_list["full"] and [s["id"] for s in full_list["servers"]] == ["h1"]
        watch = asyncio.ensure_future(get(index=full_list["version"], wait=20_000))
        while discovery.calls.qsize() < 2:
            await asyncio.sleep(0)
        assert not watch.done() and ledger.host_states["g0", "h1"][-1][1] == "up"
        discovery.apply_changes([one.entry("draining")])
        assert [s["state"] for s in (await watch)["servers"]] == ["draining"]
        assert [state for _, state in ledger.host_states["g0", "h1"]] == ["up", "draining"]
        discovery.apply_changes([one.entry("removed")])
        assert (await get(index=full_list["version"], wait=0))["servers"][-1]["state"] == "removed"
        assert (await get())["servers"] == []


class RuleBreakingGateway(Listener):
    """A gateway that breaks two rules: it copies requests to all hosts, and answers twice or never."""

    def __init__(self, hosts, answer_count):
        super().__init__()
        self.hosts, self.answer_count, self.copies = hosts, answer_count, []

    async def serve(self, reader, writer):
        while data := await reader.read(65536):
            for host in self.hosts:
                self.copies.append(await asyncio.open_connection("127.0.0.1", host.port))
                self.copies[-1][1].write(data)
            for copy, _ in self.copies:
                await read_reply(copy)
            writer.write(b"$8\r\nmade up!\r\n" * self.answer_count)


@pytest.mark.parametrize("answer_count, broken_rules", [(0, {RULES[0], RULES[1]}), (2, {RULES[0], RULES[1]})])
@run_on_uvloop
async def test_ledger_detects_a_gateway_that_breaks_rules(answer_count, broken_rules, monkeypatch):
    monkeypatch.setattr("apigateway.emulators.clients.TIMEOUT_MARGIN_S", 0.0)
    ledger = Ledger(LIMITS)
    async with (
        EmulatedHost(name="h1", work=lambda _: 0.2, ledger=ledger) as one,
        EmulatedHost(name="h2", work=lambda _: 0.2, ledger=ledger) as two,
        RuleBreakingGateway([one, two], answer_count) as gateway,
    ):
        client = Client(ledger, {"g0": ("127.0.0.1", gateway.port)})
        request = ClientRequest("r1", "0000000000000001", "p", "note", "unsafe", 0.5)
        answer = await client.send("g0", request)
        assert answer.kind == ("lost" if answer_count == 0 else "served")
        while answer_count == 2 and not ledger.unsolicited_answers:
            await asyncio.sleep(0)
        client.close()
        assert {v.rule for v in ledger.check_rules() if not v.kept} == broken_rules


@run_on_uvloop
async def test_client_resends_a_request_when_the_gateway_closes_its_idle_connection():
    ledger = Ledger(LIMITS)

    class ClosingGateway(Listener):
        """A gateway that answers the first request of a connection and closes it at the second."""

        async def serve(self, reader, writer):
            await reader.read(65536)
            writer.write(b"$1\r\nv\r\n")
            await reader.read(65536)

    async with ClosingGateway() as gateway:
        client = Client(ledger, {"g0": ("127.0.0.1", gateway.port)})
        for n in range(2):
            request = ClientRequest(f"r{n}", "0000000000000001", "p", "read", "safe", 3.0)
            assert (await client.send("g0", request)).kind == "served"
        assert len(gateway.writers) == 2 and len(ledger.requests) == 2
        client.close()

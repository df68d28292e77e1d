"""Plug-ins in gateways of their own processes: those that fail, those that try the rules, swaps in
traffic."""

import asyncio
import json
import os
import random
import signal

import pytest
from gateway_harness import VALUE_REPLY, make_command, read_reply, run_on_uvloop
from local_deployment import LEDGER_TERMS, BackgroundTraffic, LocalDeployment

from apigateway.daemon.status_query import query_gateway
from apigateway.emulators.clients import Client, Customer, Traffic
from apigateway.emulators.fleet import ClassSettings, Fleet, FleetSettings, PlanSettings
from apigateway.emulators.ledger import Ledger, format_verdicts
from apigateway.emulators.script import Step
from apigateway.plugins.records import read_records
from apigateway.plugins.testkit import module, says
from apigateway.plugins.wasm import assemble_module

BUSY = b"-BUSY\r\n"


def plugin(name, text="", **keys):
    """[[plugins]] of a settings file."""
    told = "".join(f"{key} = {json.dumps(value)}\n" for key, value in keys.items())
    return f'[[plugins]]\nname = "{name}"\n{told}{text}\n'


# A module's time is wall time: a machine that takes the CPU from the gateway in the middle of a call ends the
# call, and the module's part of that request is left out. For tests that are not about that budget.
UNHURRIED = "time_ms = 1000.0\n"


def on_request(body):
    return module(f'(func (export "on_request") (param i32) (result i64) {body})')


def replaced(path, data):
    """In one step."""
    new = path.parent / "new"
    new.write_bytes(data if isinstance(data, bytes) else data.encode())
    os.rename(new, path)


class Plugged(LocalDeployment):
    """A site with plug-ins: `plug(text)` writes gateway.toml with them."""

    def plug(self, text):
        self.write_settings()
        replaced(self.settings_file, self.settings_file.read_text() + text)

    async def told(self):
        return await query_gateway(str(self.folder / "state" / "handover"), "plugins")

    async def reload(self, program, word=b"reload: "):
        program.send_signal(signal.SIGHUP)
        return await self.wait_for_log_line(program, word)


# Loops forever, but for ids that begin with p, as those of a proof do.
LOOPS = on_request(
    "(if (i32.eq (i32.load8_u (i32.load (i32.const 4152))) (i32.const 112)) "
    "(then (return (i64.const 0)))) (loop $l (br $l)) (i64.const 0)"
)


@run_on_uvloop
async def test_one_that_loops_forever_is_stopped_each_time_then_taken_out_and_nobody_is_lost(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with Plugged(tmp_path, ledger=ledger) as site:
        (tmp_path / "loop.wat").write_text(LOOPS)
        site.plug(
            plugin("loop", f"[plugins.budget]\nfailures = 4\nrest = 600.0\n{UNHURRIED}", file="loop.wat")
            + plugin("mark", "[[plugins.rules]]\ntag = { a = '\"1\"' }")
        )
        program = await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            await load.wait_for_served(50)
            told, mark = (await site.told())["plugins"]
            assert told["failed"] == {"fuel": 4} and told["state"] == "out" and told["not asked"]["out"] >= 46
            assert mark["allowed"]["tag"] >= 50 and mark["state"] == "in"
            site.plug("")  # and an operator can take it away
            assert b"plug-ins removed: loop, mark" in await site.reload(program, b"removed")
            await load.wait_for_served(30)
        assert (await site.told())["plugins"] == []
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


@run_on_uvloop
async def test_past_its_fuel_a_request_is_refused_where_settings_say_so(tmp_path):
    async with Plugged(tmp_path) as site:
        (tmp_path / "loop.wat").write_text(LOOPS)
        site.plug(
            plugin(
                "loop",
                f"[plugins.budget]\nfailures = 4\nrest = 600.0\n{UNHURRIED}",
                file="loop.wat",
                past="refuse",
            )
        )
        await site.start_gateway()
        assert [await site.send_request(make_command(b"z%d" % n)) for n in range(3)] == [BUSY] * 3
        # It is out: until it is tried again, cut to the most that may be told.
        assert [await site.send_request(make_command(b"y%d" % n)) for n in range(3)] == [
            b"-BUSY 2000\r\n"
        ] * 3
        assert site.hosts[0].commands == site.hosts[1].commands == []


TRIES = "\n".join(
    [
        "send h0",
        "send h1",
        "retry 9",
        "hold 5",
        "host h1",
        "drain no",
        "deadline 99",
        "left 99",
        "class read",
        "effect safe",
        "plan q",
        "customer x",
        "units 0",
        "id x",
        "serve x",
        "cancel 0",
        "tag a 1",
        "tag a 2",
        "route nowhere",
        "write 0",
    ]
)


@run_on_uvloop
async def test_one_that_tries_each_rule_by_name_changes_none(tmp_path):
    """Traffic, a host that errs, one that drains, one that comes back cold, a ceiling: the ledger's
    verdict."""
    shape = FleetSettings(
        classes={
            "read": ClassSettings("safe", 1.0, 3.0, 1.0, 0.03, 0.5),
            "update": ClassSettings("keyed", 1.0, 3.0, 5.0, 0.03, 0.25, "cell", 6.0),
            "notice": ClassSettings("unsafe", 1.0, 3.0, 3.0, 0.03, 0.25),
        },
        plans={"basic": PlanSettings(20.0, 40.0, 1.0), "top": PlanSettings(10.0, 20.0, 1.0, 20.0, 40.0)},
        gateways=2,
        hosts=4,
        zones=("a", "b"),
        cold_time=3.0,
        plugins_toml="".join(
            plugin(phase, f"[plugins.budget]\n{UNHURRIED}", file=f"{phase}.wat")
            for phase in ("request", "attempt", "answer", "tick")
        ),
    )
    for phase in ("request", "attempt", "answer", "tick"):
        (tmp_path / f"{phase}.wat").write_text(module(says(TRIES, phase)))
    async with Fleet(shape, tmp_path) as fleet:
        client = Client(fleet.ledger, {g.name: ("127.0.0.1", g.port) for g in fleet.gateways})
        customers = [
            Customer(f"{n:016x}", plan, rate, n % 2, 2)
            for n, (plan, rate) in enumerate([("basic", 15.0)] * 4 + [("top", 60.0)])
        ]
        traffic = Traffic(client, customers, shape.traffic_classes(), 1)
        errs, leaves = fleet.hosts[0], fleet.hosts[1]

        async def trouble():
            errs.script.set_steps(Step("error", duration_s=2.0))
            await asyncio.sleep(0.5)
            fleet.announce((leaves, "draining"))
            await asyncio.sleep(2.5)
            await leaves.restart()
            fleet.announce((leaves, "up"))

        await asyncio.gather(traffic.run(5.0), trouble())
        told = [await query_gateway(str(tmp_path / g.name / "handover"), "plugins") for g in fleet.gateways]
        client.close()
        verdicts = fleet.ledger.check_rules()
        assert all(v.kept and v.checked for v in verdicts), format_verdicts(verdicts)
    for one in (plugin for gateway in told for plugin in gateway["plugins"]):
        if one["name"] != "tick":
            assert one["denied"]["send: fixed"] > 0 and one["denied"]["hold: fixed"] > 0, one
        assert set(one["allowed"]) <= {"tag"} and not one["failed"]


@run_on_uvloop
async def test_swapped_in_traffic_again_and_again_each_request_is_closed_out_once(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with Plugged(tmp_path, ledger=ledger) as site:
        file = tmp_path / "a.wat"
        file.write_text(module(says("tag v 0")))
        site.plug(
            plugin("a", f"[plugins.budget]\n{UNHURRIED}", file="a.wat") + '[records]\nfile = "records"\n'
        )
        program = await site.start_gateway()
        async with BackgroundTraffic(site, ledger, 300.0) as load:
            for n in range(1, 41):
                replaced(file, module(says(f"tag v {n}")))
                assert b"plug-ins loaded: a" in await site.reload(program)
            await load.wait_for_served(30)
        told = await site.told()
        assert told["version"] == 41 and not told["older versions"]
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
    found = [told for _, told in read_records(str(tmp_path / "records"))]
    assert len({told["id"] for told in found}) == len(found) == len(ledger.requests)  # each one once
    assert {told["tags"]["v"] for told in found} >= {"0", "40"}


@run_on_uvloop
async def test_one_that_traps_at_its_first_call_in_service_with_hundreds_in_flight(tmp_path):
    """Its proof goes well; from the first request that a client sends it traps."""
    async with Plugged(tmp_path, hosts=2, answer=lambda: None) as site:
        file = tmp_path / "a.wat"
        file.write_text(module(says("tag v 0")))
        site.plug(
            plugin("a", f"[plugins.budget]\nfailures = 2\nrest = 600.0\n{UNHURRIED}", file="a.wat")
            + '[records]\nfile = "records"\n'
        )
        program = await site.start_gateway()
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        for n in range(300):
            writer.write(make_command(b"q%d" % n))
        arrived = 0
        while arrived < 2:  # a gateway has a bounded number out at a host
            await site.hosts[arrived % 2].arrivals.get()
            arrived += 1
        replaced(
            file,
            on_request(
                "(if (i32.eq (i32.load8_u (i32.load (i32.const 4152))) (i32.const 113)) "
                # ids that begin with q; a proof's do not
                "(then unreachable)) (i64.const 0)"
            ),
        )
        assert b"plug-ins loaded: a" in await site.reload(program)
        for n in range(300, 320):
            writer.write(make_command(b"q%d" % n))
        for host in site.hosts:
            host.answer = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
            for one in host.writers:
                one.close()
        answers = [await read_reply(reader) for _ in range(320)]
        assert all(
            answer == VALUE_REPLY or answer.startswith((b"-BUSY", b"-ERR failed")) for answer in answers
        )
        (told,) = (await site.told())["plugins"]
        assert told["failed"] == {"trap": 2} and told["state"] == "out"
        writer.close()
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
    found = [told for _, told in read_records(str(tmp_path / "records"))]
    assert sorted(told["id"] for told in found) == sorted(f"q{n}" for n in range(320))
    assert {told["id"] for told in found if told["tags"]} == {f"q{n}" for n in range(300)}


@pytest.mark.parametrize(
    "how", ["half written", "50 MB", "gone", "traps", "no rule", "cannot take the state"]
)
@run_on_uvloop
async def test_a_bad_one_leaves_the_old_in_force(how, tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with Plugged(tmp_path, ledger=ledger) as site:
        file = tmp_path / "a.wasm"
        state = (
            '(func (export "on_save") (result i64) (i64.const 8))'
            '(func (export "on_load") (param i32) (result i32) (i32.const 0))'
        )
        good = assemble_module(module(says("tag v old") + state).encode())
        file.write_bytes(good)
        site.plug(
            plugin("a", f"[plugins.budget]\n{UNHURRIED}", file="a.wasm") + '[records]\nfile = "records"\n'
        )
        program = await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            if how == "half written":
                file.write_bytes(good[: len(good) // 2])
            elif how == "50 MB":
                replaced(file, good + bytes(50 * 1024 * 1024))
            elif how == "gone":
                file.unlink()
            elif how == "traps":
                replaced(file, assemble_module(on_request("unreachable").encode()))
            elif how == "no rule":
                site.plug(plugin("a", "[[plugins.rules]]\nwhen = 'nix'"))
            else:
                replaced(
                    file,
                    assemble_module(
                        module(
                            says("tag v new")
                            + state.replace("(result i32) (i32.const 0)", "(result i32) unreachable")
                        ).encode()
                    ),
                )
            await site.reload(program, b"rejected, the old settings stay in force")
            errors = [line for line in site.logs[program] if b"ERROR" in line]
            assert any(b"gateway.toml" in line and b"plugins" in line for line in errors), errors
            await load.wait_for_served(20)
        told = await site.told()
        assert told["version"] == 1 and told["plugins"][0]["state"] == "in"
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0
    assert {told["tags"]["v"] for _, told in read_records(str(tmp_path / "records"))} == {"old"}


@run_on_uvloop
async def test_a_gateway_does_not_start_with_a_bad_one_and_check_says_why(tmp_path):
    async with Plugged(tmp_path) as site:
        (tmp_path / "a.wat").write_text("(module")
        site.plug(plugin("a", file="a.wat"))
        program = await site.start_gateway(ready=False)
        assert b"plugins[0].file = 'a.wat'" in await site.wait_for_log_line(program, b"cannot be assembled")
        assert await program.wait() == 2


@run_on_uvloop
async def test_mutated_modules_swapped_in_traffic_do_no_harm(tmp_path):
    ledger, rng = Ledger(LEDGER_TERMS), random.Random(7)
    whole = assemble_module(
        module(says("tag v 0") + says("tag w 0", "answer").replace("40960", "45056")).encode()
    )
    async with Plugged(tmp_path, ledger=ledger) as site:
        file = tmp_path / "a.wasm"
        file.write_bytes(whole)
        site.plug(plugin("a", "[plugins.budget]\nfailures = 1000000", file="a.wasm"))
        program = await site.start_gateway()
        taken = 0
        async with BackgroundTraffic(site, ledger) as load:
            for _ in range(30):
                raw = bytearray(whole)
                for _ in range(rng.randint(1, 2)):
                    raw[rng.randrange(8, len(raw))] = rng.randrange(256)
                replaced(file, bytes(raw))
                taken += b"rejected" not in await site.reload(program)
            await load.wait_for_served(20)
        assert 1 < taken < 30 and (await site.told())["version"] > 1
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


@run_on_uvloop
async def test_a_hand_over_takes_the_plug_ins_of_the_new_settings(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with Plugged(tmp_path, ledger=ledger) as site:
        site.plug(plugin("a", "[[plugins.rules]]\nwhen = 'id.startsWith(\"no\")'\nrefuse = '0.5'"))
        old = await site.start_gateway()
        assert await site.send_request(make_command(b"no1")) == b"-BUSY 500\r\n"
        async with BackgroundTraffic(site, ledger) as load:
            site.plug(plugin("a", "[[plugins.rules]]\nwhen = 'id.startsWith(\"no\")'\nrefuse = '0'"))
            await site.start_gateway("--take-over")
            assert await old.wait() == 0
            await load.wait_for_served(20)
            assert await site.send_request(make_command(b"no2")) == BUSY
            assert (await site.send_request(make_command(b"yes"))).startswith(b"$")

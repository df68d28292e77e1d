"""Plug-ins in gateway processes: plug-ins that fail or try to break rules, and replacement under load."""

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


def plugin_table(name, text="", **settings):
    """Return a [[plugins]] table of a settings file."""
    lines = "".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items())
    return f'[[plugins]]\nname = "{name}"\n{lines}{text}\n'


# A module's time budget counts wall time, so a busy machine that preempts the gateway during a call ends the
# call, and the module has no part in that request. This budget is for tests of something else.
LONG_TIME_BUDGET = "time_ms = 1000.0\n"


def on_request_module(body):
    return module(f'(func (export "on_request") (param i32) (result i64) {body})')


def replace_file(path, data):
    """Replace a file atomically."""
    new = path.parent / "new"
    new.write_bytes(data if isinstance(data, bytes) else data.encode())
    os.rename(new, path)


class PluginDeployment(LocalDeployment):
    """A deployment with plug-ins; `write_plugins` writes gateway.toml with the given plug-in tables."""

    def write_plugins(self, text):
        self.write_settings()
        replace_file(self.settings_file, self.settings_file.read_text() + text)

    async def plugin_status(self):
        return await query_gateway(str(self.folder / "state" / "handover"), "plugins")

    async def reload(self, process, word=b"reload: "):
        process.send_signal(signal.SIGHUP)
        return await self.wait_for_log_line(process, word)


# Loops forever, except for ids that begin with p, as those of the validation's sample requests do.
LOOPING_MODULE = on_request_module(
    "(if (i32.eq (i32.load8_u (i32.load (i32.const 4152))) (i32.const 112)) "
    "(then (return (i64.const 0)))) (loop $l (br $l)) (i64.const 0)"
)


@run_on_uvloop
async def test_looping_plugin_is_interrupted_then_taken_out_and_no_request_is_lost(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with PluginDeployment(tmp_path, ledger=ledger) as deployment:
        (tmp_path / "loop.wat").write_text(LOOPING_MODULE)
        deployment.write_plugins(
            plugin_table(
                "loop", f"[plugins.budget]\nfailures = 4\nrest = 600.0\n{LONG_TIME_BUDGET}", file="loop.wat"
            )
            + plugin_table("mark", "[[plugins.rules]]\ntag = { a = '\"1\"' }")
        )
        process = await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as traffic:
            await traffic.wait_for_served(50)
            status, tagging_plugin = (await deployment.plugin_status())["plugins"]
            assert (
                status["failed"] == {"fuel": 4}
                and status["state"] == "out"
                and status["not asked"]["out"] >= 46
            )
            assert tagging_plugin["allowed"]["tag"] >= 50 and tagging_plugin["state"] == "in"
            deployment.write_plugins("")  # an operator can remove it
            assert b"plug-ins removed: loop, mark" in await deployment.reload(process, b"removed")
            await traffic.wait_for_served(30)
        assert (await deployment.plugin_status())["plugins"] == []
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


@run_on_uvloop
async def test_request_is_refused_when_a_plugin_exceeds_its_fuel_and_settings_say_so(tmp_path):
    async with PluginDeployment(tmp_path) as deployment:
        (tmp_path / "loop.wat").write_text(LOOPING_MODULE)
        deployment.write_plugins(
            plugin_table(
                "loop",
                f"[plugins.budget]\nfailures = 4\nrest = 600.0\n{LONG_TIME_BUDGET}",
                file="loop.wat",
                past="refuse",
            )
        )
        await deployment.start_gateway()
        assert [await deployment.send_request(make_command(b"z%d" % n)) for n in range(3)] == [BUSY] * 3
        # The plug-in is out until its next trial; the wait for clients is capped.
        assert [await deployment.send_request(make_command(b"y%d" % n)) for n in range(3)] == [
            b"-BUSY 2000\r\n"
        ] * 3
        assert deployment.hosts[0].commands == deployment.hosts[1].commands == []


FORBIDDEN_PROPOSALS = "\n".join(
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
async def test_plugin_that_proposes_forbidden_changes_breaks_no_rule(tmp_path):
    """The rules hold with a failing host, a host that drains and restarts cold, and a ceiling."""
    settings = FleetSettings(
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
            plugin_table(phase, f"[plugins.budget]\n{LONG_TIME_BUDGET}", file=f"{phase}.wat")
            for phase in ("request", "attempt", "answer", "tick")
        ),
    )
    for phase in ("request", "attempt", "answer", "tick"):
        (tmp_path / f"{phase}.wat").write_text(module(says(FORBIDDEN_PROPOSALS, phase)))
    async with Fleet(settings, tmp_path) as fleet:
        client = Client(fleet.ledger, {g.name: ("127.0.0.1", g.port) for g in fleet.gateways})
        customers = [
            Customer(f"{n:016x}", plan, rate, n % 2, 2)
            for n, (plan, rate) in enumerate([("basic", 15.0)] * 4 + [("top", 60.0)])
        ]
        traffic = Traffic(client, customers, settings.traffic_classes(), 1)
        failing_host, draining_host = fleet.hosts[0], fleet.hosts[1]

        async def cause_faults():
            failing_host.script.set_steps(Step("error", duration_s=2.0))
            await asyncio.sleep(0.5)
            fleet.announce((draining_host, "draining"))
            await asyncio.sleep(2.5)
            await draining_host.restart()
            fleet.announce((draining_host, "up"))

        await asyncio.gather(traffic.run(5.0), cause_faults())
        statuses = [
            await query_gateway(str(tmp_path / g.name / "handover"), "plugins") for g in fleet.gateways
        ]
        client.close()
        verdicts = fleet.ledger.check_rules()
        assert all(v.kept and v.checked for v in verdicts), format_verdicts(verdicts)
    for plugin_status in (entry for gateway in statuses for entry in gateway["plugins"]):
        if plugin_status["name"] != "tick":
            assert (
                plugin_status["denied"]["send: fixed"] > 0 and plugin_status["denied"]["hold: fixed"] > 0
            ), plugin_status
        assert set(plugin_status["allowed"]) <= {"tag"} and not plugin_status["failed"]


@run_on_uvloop
async def test_each_request_is_recorded_once_when_a_plugin_is_replaced_under_load(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with PluginDeployment(tmp_path, ledger=ledger) as deployment:
        file = tmp_path / "a.wat"
        file.write_text(module(says("tag v 0")))
        deployment.write_plugins(
            plugin_table("a", f"[plugins.budget]\n{LONG_TIME_BUDGET}", file="a.wat")
            + '[records]\nfile = "records"\n'
        )
        process = await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger, 300.0) as traffic:
            for n in range(1, 41):
                replace_file(file, module(says(f"tag v {n}")))
                assert b"plug-ins loaded: a" in await deployment.reload(process)
            await traffic.wait_for_served(30)
        status = await deployment.plugin_status()
        assert status["version"] == 41 and not status["older versions"]
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
    records = [record for _, record in read_records(str(tmp_path / "records"))]
    # Each request is recorded once.
    assert len({record["id"] for record in records}) == len(records) == len(ledger.requests)
    assert {record["tags"]["v"] for record in records} >= {"0", "40"}


@run_on_uvloop
async def test_plugin_that_traps_at_its_first_call_with_hundreds_of_requests_in_flight(tmp_path):
    """The module passes validation, and traps from the first client request on."""
    async with PluginDeployment(tmp_path, hosts=2, answer=lambda: None) as deployment:
        file = tmp_path / "a.wat"
        file.write_text(module(says("tag v 0")))
        deployment.write_plugins(
            plugin_table(
                "a", f"[plugins.budget]\nfailures = 2\nrest = 600.0\n{LONG_TIME_BUDGET}", file="a.wat"
            )
            + '[records]\nfile = "records"\n'
        )
        process = await deployment.start_gateway()
        reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
        for n in range(300):
            writer.write(make_command(b"q%d" % n))
        arrived_count = 0
        while arrived_count < 2:  # a gateway limits the concurrent attempts at a host
            await deployment.hosts[arrived_count % 2].arrivals.get()
            arrived_count += 1
        replace_file(
            file,
            on_request_module(
                "(if (i32.eq (i32.load8_u (i32.load (i32.const 4152))) (i32.const 113)) "
                # for ids that begin with q, which those of the validation do not
                "(then unreachable)) (i64.const 0)"
            ),
        )
        assert b"plug-ins loaded: a" in await deployment.reload(process)
        for n in range(300, 320):
            writer.write(make_command(b"q%d" % n))
        for host in deployment.hosts:
            host.answer = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
            for host_writer in host.writers:
                host_writer.close()
        answers = [await read_reply(reader) for _ in range(320)]
        assert all(
            answer == VALUE_REPLY or answer.startswith((b"-BUSY", b"-ERR failed")) for answer in answers
        )
        (status,) = (await deployment.plugin_status())["plugins"]
        assert status["failed"] == {"trap": 2} and status["state"] == "out"
        writer.close()
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
    records = [record for _, record in read_records(str(tmp_path / "records"))]
    assert sorted(record["id"] for record in records) == sorted(f"q{n}" for n in range(320))
    assert {record["id"] for record in records if record["tags"]} == {f"q{n}" for n in range(300)}


@pytest.mark.parametrize(
    "fault", ["half written", "50 MB", "gone", "traps", "no rule", "cannot take the state"]
)
@run_on_uvloop
async def test_invalid_plugin_leaves_the_old_one_in_force(fault, tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with PluginDeployment(tmp_path, ledger=ledger) as deployment:
        file = tmp_path / "a.wasm"
        state = (
            '(func (export "on_save") (result i64) (i64.const 8))'
            '(func (export "on_load") (param i32) (result i32) (i32.const 0))'
        )
        valid_module = assemble_module(module(says("tag v old") + state).encode())
        file.write_bytes(valid_module)
        deployment.write_plugins(
            plugin_table("a", f"[plugins.budget]\n{LONG_TIME_BUDGET}", file="a.wasm")
            + '[records]\nfile = "records"\n'
        )
        process = await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as traffic:
            if fault == "half written":
                file.write_bytes(valid_module[: len(valid_module) // 2])
            elif fault == "50 MB":
                replace_file(file, valid_module + bytes(50 * 1024 * 1024))
            elif fault == "gone":
                file.unlink()
            elif fault == "traps":
                replace_file(file, assemble_module(on_request_module("unreachable").encode()))
            elif fault == "no rule":
                deployment.write_plugins(plugin_table("a", "[[plugins.rules]]\nwhen = 'nix'"))
            else:
                replace_file(
                    file,
                    assemble_module(
                        module(
                            says("tag v new")
                            + state.replace("(result i32) (i32.const 0)", "(result i32) unreachable")
                        ).encode()
                    ),
                )
            await deployment.reload(process, b"rejected, the old settings stay in force")
            errors = [line for line in deployment.logs[process] if b"ERROR" in line]
            assert any(b"gateway.toml" in line and b"plugins" in line for line in errors), errors
            await traffic.wait_for_served(20)
        status = await deployment.plugin_status()
        assert status["version"] == 1 and status["plugins"][0]["state"] == "in"
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
    assert {record["tags"]["v"] for _, record in read_records(str(tmp_path / "records"))} == {"old"}


@run_on_uvloop
async def test_gateway_does_not_start_with_an_invalid_plugin(tmp_path):
    async with PluginDeployment(tmp_path) as deployment:
        (tmp_path / "a.wat").write_text("(module")
        deployment.write_plugins(plugin_table("a", file="a.wat"))
        process = await deployment.start_gateway(ready=False)
        assert b"plugins[0].file = 'a.wat'" in await deployment.wait_for_log_line(
            process, b"cannot be assembled"
        )
        assert await process.wait() == 2


@run_on_uvloop
async def test_mutated_modules_loaded_under_load_break_no_rule(tmp_path):
    ledger, rng = Ledger(LEDGER_TERMS), random.Random(7)
    valid_module = assemble_module(
        module(says("tag v 0") + says("tag w 0", "answer").replace("40960", "45056")).encode()
    )
    async with PluginDeployment(tmp_path, ledger=ledger) as deployment:
        file = tmp_path / "a.wasm"
        file.write_bytes(valid_module)
        deployment.write_plugins(plugin_table("a", "[plugins.budget]\nfailures = 1000000", file="a.wasm"))
        process = await deployment.start_gateway()
        accepted_count = 0
        async with BackgroundTraffic(deployment, ledger) as traffic:
            for _ in range(30):
                mutated = bytearray(valid_module)
                for _ in range(rng.randint(1, 2)):
                    mutated[rng.randrange(8, len(mutated))] = rng.randrange(256)
                replace_file(file, bytes(mutated))
                accepted_count += b"rejected" not in await deployment.reload(process)
            await traffic.wait_for_served(20)
        assert 1 < accepted_count < 30 and (await deployment.plugin_status())["version"] > 1
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


@run_on_uvloop
async def test_hand_over_loads_the_plugins_of_the_new_settings(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with PluginDeployment(tmp_path, ledger=ledger) as deployment:
        deployment.write_plugins(
            plugin_table("a", "[[plugins.rules]]\nwhen = 'id.startsWith(\"no\")'\nrefuse = '0.5'")
        )
        old_process = await deployment.start_gateway()
        assert await deployment.send_request(make_command(b"no1")) == b"-BUSY 500\r\n"
        async with BackgroundTraffic(deployment, ledger) as traffic:
            deployment.write_plugins(
                plugin_table("a", "[[plugins.rules]]\nwhen = 'id.startsWith(\"no\")'\nrefuse = '0'")
            )
            await deployment.start_gateway("--take-over")
            assert await old_process.wait() == 0
            await traffic.wait_for_served(20)
            assert await deployment.send_request(make_command(b"no2")) == BUSY
            assert (await deployment.send_request(make_command(b"yes"))).startswith(b"$")

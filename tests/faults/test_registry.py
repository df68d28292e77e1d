"""Gateways whose hosts come from a registry that fails, lies and flips, judged by the ledger."""

import asyncio
import json
import random
import signal
import subprocess
import sys

import pytest
from gateway_harness import make_command, read_reply, run_on_uvloop
from local_deployment import GATEWAY_COMMAND, LEDGER_TERMS, ROOT, BackgroundTraffic, LocalDeployment

from apigateway.emulators.eureka import EmulatedEureka, instance
from apigateway.emulators.ledger import Ledger
from apigateway.emulators.script import Step


class RegistrySite(LocalDeployment):
    """A site whose gateway asks a stand-in registry, ten times a second."""

    def __init__(self, path, hosts=3, ledger=None, register="", **kw):
        super().__init__(path, hosts, ledger=ledger, **kw)
        self.registry, self.register = EmulatedEureka(gateway="g", ledger=ledger), register

    async def __aenter__(self):
        await self.registry.__aenter__()
        return await super().__aenter__()

    def publish_hosts(self, *states):
        super().publish_hosts(*states)
        for host in self.hosts:
            self.registry.register(self.instance(host))

    @staticmethod
    def instance(host, **kw):
        return instance(host.name, host.port, **kw)

    def write_settings(self, ports=None, **tables):
        # Registered just now they count as just started: these tests are not about that.
        mine = {
            "hosts": 'source = "eureka"',
            "rules": "cold_time = 0.0",
            "register": self.register,
            "eureka": f'urls = ["{self.registry.url}"]\npoll = 0.1\ntimeout = 0.5\nname = "roster"',
        }
        super().write_settings(
            ports, **{k: "\n".join(filter(None, [mine.get(k), tables.get(k)])) for k in mine | tables}
        )

    async def __aexit__(self, *_):
        await super().__aexit__()
        await self.registry.__aexit__()


async def polled(site, count=2):
    """Until the gateway has asked so often from now on."""
    while not site.registry.reads.empty():
        site.registry.reads.get_nowait()
    for _ in range(count):
        await site.registry.reads.get()


@run_on_uvloop
async def test_flips_under_load_keep_the_cutoff(tmp_path):
    ledger, rng = Ledger(LEDGER_TERMS), random.Random(7)
    async with RegistrySite(tmp_path, hosts=4, ledger=ledger) as site:
        site.write_settings(trust="calm_time = 0.0")
        await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            for _ in range(40):
                host = rng.choice(site.hosts[1:])  # one stays up, so that all is served
                site.registry.override("ROSTER", host.name, rng.choice(["OUT_OF_SERVICE", "DOWN", ""]))
                await polled(site, rng.choice([0, 1, 2]))
            await load.wait_for_served(20)
        tellings = [state for told in ledger.host_states.values() for _, state in told]
        assert tellings.count("draining") >= 5 and tellings.count("up") >= 5


@run_on_uvloop
async def test_a_flip_within_one_poll_and_one_while_an_attempt_is_out(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with RegistrySite(tmp_path, hosts=2, ledger=ledger) as site:
        await site.start_gateway()
        first = site.hosts[0]
        async with BackgroundTraffic(site, ledger) as load:
            site.registry.override("ROSTER", first.name, "OUT_OF_SERVICE")
            site.registry.override("ROSTER", first.name, "")
            await polled(site)
            before = len(first.commands)
            while len(first.commands) == before:  # it is used on
                await load.wait_for_served(1)
            first.script.set_steps(Step("stall", count=1, delay_s=0.3))
            while first.script.steps and not first.script.message_count:
                await load.wait_for_served(1)
            site.registry.override("ROSTER", first.name, "OUT_OF_SERVICE")  # with an attempt out there
            await polled(site, 3)
            before = len(first.commands)
            await load.wait_for_served(50)
            assert len(first.commands) == before


@run_on_uvloop
async def test_a_registry_that_is_silent_for_longer_than_every_lease(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with RegistrySite(tmp_path, hosts=3, ledger=ledger) as site:
        third = site.hosts[2]
        site.registry.cancel("ROSTER", third.name)
        program = await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            site.registry.script.set_steps(Step("silent"))
            await site.wait_for_log_line(program, b"keeping the last list")
            site.registry.clock_offset_s = 1000.0  # all leases have run out
            await load.wait_for_served(50)
            assert all(len(h.commands) > 0 for h in site.hosts[:2]) and not third.commands
            site.registry.restart()
            for host in (site.hosts[0], third):
                site.registry.register(site.instance(host))
            site.registry.script.set_steps()
            while not third.commands:  # followed at once
                await load.wait_for_served(1)


@pytest.mark.parametrize("left", [0, 1])
@run_on_uvloop
async def test_a_registry_that_comes_back_empty_or_with_half_serves_on(left, tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with RegistrySite(tmp_path, hosts=4, ledger=ledger) as site:
        site.write_settings(eureka="delta = false")
        await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            site.registry.restart()
            for host in site.hosts[:left]:
                site.registry.register(site.instance(host))
            await polled(site, 3)
            before = [len(h.commands) for h in site.hosts]
            # A hundredth of the requests at least, over 400 of them: idle hosts are chosen by response times,
            # and of a hundred one may get none. They take 3 s; missing hosts are in doubt for 30 s.
            await load.wait_for_served(400)
            assert all(len(h.commands) >= was + 4 for h, was in zip(site.hosts, before, strict=True))


@run_on_uvloop
async def test_a_host_that_renews_and_answers_nothing_is_gone_round_and_used_again(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with RegistrySite(tmp_path, hosts=3, ledger=ledger) as site:
        await site.start_gateway()
        sick = site.hosts[0]
        async with BackgroundTraffic(site, ledger) as load:
            sick.script.set_steps(Step("silent"))
            await load.wait_for_served(100)
            before, was = len(sick.commands), len(load.traffic.latencies_s)
            await load.wait_for_served(200)
            tried = len(sick.commands) - before
            assert tried < (len(load.traffic.latencies_s) - was) / 6  # a third, if nobody minded
            sick.script.set_steps()
            before = len(sick.commands)
            while len(sick.commands) < before + 10:
                await load.wait_for_served(1)


@run_on_uvloop
async def test_a_reload_goes_from_a_file_to_a_registry_and_back_in_traffic(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with RegistrySite(tmp_path, hosts=3, ledger=ledger) as site:
        LocalDeployment.write_settings(site)  # the file, which names all three
        program = await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            kept = site.hosts[0]
            for host in site.hosts[1:2]:
                site.registry.cancel("ROSTER", host.name)
            site.write_settings()
            program.send_signal(signal.SIGHUP)
            assert b"hosts.source" in await site.wait_for_log_line(program, b"reload: took effect")
            await polled(site, 3)
            gone, connections = len(site.hosts[1].commands), len(kept.writers)
            await load.wait_for_served(100)
            assert len(site.hosts[1].commands) == gone  # one of three is missing: believed at once
            LocalDeployment.write_settings(site)
            ledger.record_host_state(
                "g", site.hosts[1].name, "up"
            )  # by the file: else past the grace it counts as gone
            program.send_signal(signal.SIGHUP)
            await site.wait_for_log_line(program, b"reload: took effect")
            while len(site.hosts[1].commands) == gone:
                await load.wait_for_served(1)
            assert connections > 0 and kept.connections > 0


@run_on_uvloop
async def test_the_gateway_is_an_instance_itself_and_never_routes_to_itself(tmp_path):
    register = 'on = true\nip = "127.0.0.1"\nid = "gw"\napp = "ROSTER"\nrenew = 0.2\nduration = 5.0'
    async with RegistrySite(tmp_path, hosts=1, register=register) as site:
        site.hosts[0].script.set_steps(Step("stall", delay_s=0.3))
        program = await site.start_gateway()
        key = ("ROSTER", "gw")
        while key not in site.registry.leases or site.registry.leases[key].status != "UP":
            await site.registry.reads.get()
        await polled(site, 3)
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(make_command())
        while not site.hosts[0].commands:
            await site.hosts[0].arrivals.get()
        seen = []
        real = site.registry.register

        def register_down(told, replicated=False):
            seen.append((told["status"], told["instanceId"]))
            real(told, replicated)

        site.registry.register = register_down
        program.send_signal(signal.SIGTERM)
        assert (await read_reply(reader)).startswith(b"$")
        assert await program.wait() == 0
        assert ("DOWN", "gw") in seen and key not in site.registry.leases
        writer.close()


@run_on_uvloop
async def test_what_a_gateway_believes_can_be_asked(tmp_path):
    async with RegistrySite(tmp_path, hosts=2) as site:
        site.registry.override("ROSTER", "h1", "OUT_OF_SERVICE")
        await site.start_gateway()

        async def run(*arguments):
            program = await asyncio.create_subprocess_exec(
                *GATEWAY_COMMAND,
                "hosts",
                str(site.settings_file),
                *arguments,
                cwd=ROOT,
                stdout=subprocess.PIPE,
            )
            out, _ = await program.communicate()
            return program.returncode, out.decode()

        for arguments in ((), ("--registry",)):
            code, text = await run(*arguments)
            assert code == 0 and "2 hosts" in text and "draining" in text and site.registry.url in text
        code, text = await run("--json")
        told = json.loads(text)
        assert {h["id"]: h["state"] for h in told["hosts"]} == {"h0": "up", "h1": "draining"} and told[
            "age"
        ] < 60
        up, gone = (next(h["choice"] for h in told["hosts"] if h["id"] == name) for name in ("h0", "h1"))
        assert up["near"] and up["out"] == 0 and up["sound"] > 0.9 and up["age"] is None and not up["rests"]
        assert not gone["near"]
        assert (await site.send_request(make_command(b"counted"))).startswith(b"$")
        text = (await run())[1]
        assert "choices: 0 by a fresh report, 1 by the mean of all" in text
        assert "subset" not in (await run("--registry"))[1]


@run_on_uvloop
async def test_the_platforms_program_loads_no_registry():
    code = (
        "import sys, apigateway.daemon.platform; "
        "print([m for m in sys.modules if 'eureka' in m or 'reconciler' in m or 'defusedxml' in m])"
    )
    program = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, cwd=ROOT, stdout=subprocess.PIPE
    )
    assert (await program.communicate())[0] == b"[]\n"


@run_on_uvloop
async def test_a_walk_of_faults_keeps_the_rules(tmp_path):
    ledger, rng = Ledger(LEDGER_TERMS), random.Random(5)
    async with RegistrySite(tmp_path, hosts=3, ledger=ledger) as site:
        site.write_settings(trust="calm_time = 0.0")
        await site.start_gateway()
        held = site.registry
        async with BackgroundTraffic(site, ledger, rate=80.0) as load:
            for _ in range(25):
                what = rng.choice(
                    ["error", "half", "spoilt", "restart", "hash", "lost", "clock", "flip", "fill"]
                )
                if what in ("error", "half", "spoilt"):
                    held.script.set_steps(Step(what, count=rng.randint(1, 3)))
                elif what == "restart":
                    held.restart()
                elif what == "hash":
                    held.hashcode = rng.choice([None, "UP_99_"])
                elif what == "lost":
                    held.empty_deltas = rng.randint(1, 3)
                elif what == "clock":
                    held.clock_offset_s = rng.uniform(-100.0, 100.0)
                elif what == "flip":
                    host = rng.choice(site.hosts[1:])
                    held.override("ROSTER", host.name, rng.choice(["OUT_OF_SERVICE", "DOWN", ""]))
                else:
                    for host in site.hosts:
                        held.register(site.instance(host))
                await load.wait_for_served(rng.randint(1, 15))

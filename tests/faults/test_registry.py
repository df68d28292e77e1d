"""Gateways whose hosts come from a registry that fails, sends wrong data or flips states.

The ledger checks the rules.
"""

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


class RegistryDeployment(LocalDeployment):
    """A deployment whose gateway polls an emulated registry ten times a second."""

    def __init__(self, path, hosts=3, ledger=None, register="", **options):
        super().__init__(path, hosts, ledger=ledger, **options)
        self.registry, self.register = EmulatedEureka(gateway="g", ledger=ledger), register

    async def __aenter__(self):
        await self.registry.__aenter__()
        return await super().__aenter__()

    def publish_hosts(self, *states):
        super().publish_hosts(*states)
        for host in self.hosts:
            self.registry.register(self.instance(host))

    @staticmethod
    def instance(host, **options):
        return instance(host.name, host.port, **options)

    def write_settings(self, ports=None, **tables):
        # Newly registered hosts would otherwise count as cold, which these tests are not about.
        own_tables = {
            "hosts": 'source = "eureka"',
            "rules": "cold_time = 0.0",
            "register": self.register,
            "eureka": f'urls = ["{self.registry.url}"]\npoll = 0.1\ntimeout = 0.5\nname = "roster"',
        }
        super().write_settings(
            ports,
            **{k: "\n".join(filter(None, [own_tables.get(k), tables.get(k)])) for k in own_tables | tables},
        )

    async def __aexit__(self, *_):
        await super().__aexit__()
        await self.registry.__aexit__()


async def wait_for_polls(deployment, count=2):
    """Wait until the gateway has polled `count` more times."""
    while not deployment.registry.reads.empty():
        deployment.registry.reads.get_nowait()
    for _ in range(count):
        await deployment.registry.reads.get()


@run_on_uvloop
async def test_state_flips_under_load_keep_the_drain_rule(tmp_path):
    ledger, rng = Ledger(LEDGER_TERMS), random.Random(7)
    async with RegistryDeployment(tmp_path, hosts=4, ledger=ledger) as deployment:
        deployment.write_settings(trust="calm_time = 0.0")
        await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as traffic:
            for _ in range(40):
                host = rng.choice(deployment.hosts[1:])  # one host stays up, so that all requests are served
                deployment.registry.override("ROSTER", host.name, rng.choice(["OUT_OF_SERVICE", "DOWN", ""]))
                await wait_for_polls(deployment, rng.choice([0, 1, 2]))
            await traffic.wait_for_served(20)
        states = [state for entries in ledger.host_states.values() for _, state in entries]
        assert states.count("draining") >= 5 and states.count("up") >= 5


@run_on_uvloop
async def test_state_flip_within_a_poll_period_and_one_during_an_attempt(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with RegistryDeployment(tmp_path, hosts=2, ledger=ledger) as deployment:
        await deployment.start_gateway()
        first_host = deployment.hosts[0]
        async with BackgroundTraffic(deployment, ledger) as traffic:
            deployment.registry.override("ROSTER", first_host.name, "OUT_OF_SERVICE")
            deployment.registry.override("ROSTER", first_host.name, "")
            await wait_for_polls(deployment)
            count_before = len(first_host.commands)
            while len(first_host.commands) == count_before:  # the host is still used
                await traffic.wait_for_served(1)
            first_host.script.set_steps(Step("stall", count=1, delay_s=0.3))
            while first_host.script.steps and not first_host.script.message_count:
                await traffic.wait_for_served(1)
            # During an attempt at the host:
            deployment.registry.override("ROSTER", first_host.name, "OUT_OF_SERVICE")
            await wait_for_polls(deployment, 3)
            count_before = len(first_host.commands)
            await traffic.wait_for_served(50)
            assert len(first_host.commands) == count_before


@run_on_uvloop
async def test_registry_silent_for_longer_than_all_leases_leaves_the_hosts_in_use(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with RegistryDeployment(tmp_path, hosts=3, ledger=ledger) as deployment:
        third_host = deployment.hosts[2]
        deployment.registry.cancel("ROSTER", third_host.name)
        process = await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as traffic:
            deployment.registry.script.set_steps(Step("silent"))
            await deployment.wait_for_log_line(process, b"keeping the last list")
            deployment.registry.clock_offset_s = 1000.0  # all leases have expired
            await traffic.wait_for_served(50)
            assert all(len(h.commands) > 0 for h in deployment.hosts[:2]) and not third_host.commands
            deployment.registry.restart()
            for host in (deployment.hosts[0], third_host):
                deployment.registry.register(deployment.instance(host))
            deployment.registry.script.set_steps()
            while not third_host.commands:  # the new list takes effect at once
                await traffic.wait_for_served(1)


@pytest.mark.parametrize("instance_count", [0, 1])
@run_on_uvloop
async def test_gateway_keeps_its_hosts_when_the_registry_restarts_empty_or_incomplete(
    instance_count, tmp_path
):
    ledger = Ledger(LEDGER_TERMS)
    async with RegistryDeployment(tmp_path, hosts=4, ledger=ledger) as deployment:
        deployment.write_settings(eureka="delta = false")
        await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as traffic:
            deployment.registry.restart()
            for host in deployment.hosts[:instance_count]:
                deployment.registry.register(deployment.instance(host))
            await wait_for_polls(deployment, 3)
            counts_before = [len(h.commands) for h in deployment.hosts]
            # Each host must get a hundredth of 400 requests: idle hosts are chosen by response times, and one
            # host may get none of a hundred. 400 requests take 3 s; missing hosts are in doubt for 30 s.
            await traffic.wait_for_served(400)
            assert all(
                len(h.commands) >= count_before + 4
                for h, count_before in zip(deployment.hosts, counts_before, strict=True)
            )


@run_on_uvloop
async def test_silent_host_that_renews_its_lease_is_avoided_and_used_again_after_recovery(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with RegistryDeployment(tmp_path, hosts=3, ledger=ledger) as deployment:
        await deployment.start_gateway()
        silent_host = deployment.hosts[0]
        async with BackgroundTraffic(deployment, ledger) as traffic:
            silent_host.script.set_steps(Step("silent"))
            await traffic.wait_for_served(100)
            count_before, served_before = len(silent_host.commands), len(traffic.traffic.latencies_s)
            await traffic.wait_for_served(200)
            attempt_count = len(silent_host.commands) - count_before
            # The host would get a third if the gateway ignored its failures.
            assert attempt_count < (len(traffic.traffic.latencies_s) - served_before) / 6
            silent_host.script.set_steps()
            count_before = len(silent_host.commands)
            while len(silent_host.commands) < count_before + 10:
                await traffic.wait_for_served(1)


@run_on_uvloop
async def test_reload_switches_from_a_file_to_a_registry_and_back_under_load(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with RegistryDeployment(tmp_path, hosts=3, ledger=ledger) as deployment:
        LocalDeployment.write_settings(deployment)  # the hosts file, which lists all three
        process = await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as traffic:
            kept_host = deployment.hosts[0]
            for host in deployment.hosts[1:2]:
                deployment.registry.cancel("ROSTER", host.name)
            deployment.write_settings()
            process.send_signal(signal.SIGHUP)
            assert b"hosts.source" in await deployment.wait_for_log_line(process, b"reload: took effect")
            await wait_for_polls(deployment, 3)
            count_before, connections = len(deployment.hosts[1].commands), len(kept_host.writers)
            await traffic.wait_for_served(100)
            # One missing host of three is accepted at once.
            assert len(deployment.hosts[1].commands) == count_before
            LocalDeployment.write_settings(deployment)
            # The file lists the host; otherwise the ledger would count it as removed.
            ledger.record_host_state("g", deployment.hosts[1].name, "up")
            process.send_signal(signal.SIGHUP)
            await deployment.wait_for_log_line(process, b"reload: took effect")
            while len(deployment.hosts[1].commands) == count_before:
                await traffic.wait_for_served(1)
            assert connections > 0 and kept_host.connections > 0


@run_on_uvloop
async def test_gateway_registers_itself_and_never_routes_to_itself(tmp_path):
    register = 'on = true\nip = "127.0.0.1"\nid = "gw"\napp = "ROSTER"\nrenew = 0.2\nduration = 5.0'
    async with RegistryDeployment(tmp_path, hosts=1, register=register) as deployment:
        deployment.hosts[0].script.set_steps(Step("stall", delay_s=0.3))
        process = await deployment.start_gateway()
        key = ("ROSTER", "gw")
        while key not in deployment.registry.leases or deployment.registry.leases[key].status != "UP":
            await deployment.registry.reads.get()
        await wait_for_polls(deployment, 3)
        reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
        writer.write(make_command())
        while not deployment.hosts[0].commands:
            await deployment.hosts[0].arrivals.get()
        registrations = []
        original_register = deployment.registry.register

        def record_and_register(instance_data, replicated=False):
            registrations.append((instance_data["status"], instance_data["instanceId"]))
            original_register(instance_data, replicated)

        deployment.registry.register = record_and_register
        process.send_signal(signal.SIGTERM)
        assert (await read_reply(reader)).startswith(b"$")
        assert await process.wait() == 0
        assert ("DOWN", "gw") in registrations and key not in deployment.registry.leases
        writer.close()


@run_on_uvloop
async def test_hosts_command_shows_the_gateways_view(tmp_path):
    async with RegistryDeployment(tmp_path, hosts=2) as deployment:
        deployment.registry.override("ROSTER", "h1", "OUT_OF_SERVICE")
        await deployment.start_gateway()

        async def run(*arguments):
            process = await asyncio.create_subprocess_exec(
                *GATEWAY_COMMAND,
                "hosts",
                str(deployment.settings_file),
                *arguments,
                cwd=ROOT,
                stdout=subprocess.PIPE,
            )
            out, _ = await process.communicate()
            return process.returncode, out.decode()

        for arguments in ((), ("--registry",)):
            code, output = await run(*arguments)
            assert (
                code == 0
                and "2 hosts" in output
                and "draining" in output
                and deployment.registry.url in output
            )
        code, output = await run("--json")
        entries = json.loads(output)
        assert {h["id"]: h["state"] for h in entries["hosts"]} == {"h0": "up", "h1": "draining"} and entries[
            "age"
        ] < 60
        up, draining = (
            next(h["choice"] for h in entries["hosts"] if h["id"] == name) for name in ("h0", "h1")
        )
        assert up["near"] and up["out"] == 0 and up["sound"] > 0.9 and up["age"] is None and not up["rests"]
        assert not draining["near"]
        assert (await deployment.send_request(make_command(b"counted"))).startswith(b"$")
        output = (await run())[1]
        assert "choices: 0 by a fresh report, 1 by the mean of all" in output
        assert "subset" not in (await run("--registry"))[1]


@run_on_uvloop
async def test_platform_entry_point_does_not_import_the_registry_client():
    code = (
        "import sys, apigateway.daemon.platform; "
        "print([m for m in sys.modules if 'eureka' in m or 'reconciler' in m or 'defusedxml' in m])"
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, cwd=ROOT, stdout=subprocess.PIPE
    )
    assert (await process.communicate())[0] == b"[]\n"


@run_on_uvloop
async def test_random_sequence_of_registry_faults_keeps_the_rules(tmp_path):
    ledger, rng = Ledger(LEDGER_TERMS), random.Random(5)
    async with RegistryDeployment(tmp_path, hosts=3, ledger=ledger) as deployment:
        deployment.write_settings(trust="calm_time = 0.0")
        await deployment.start_gateway()
        registry = deployment.registry
        async with BackgroundTraffic(deployment, ledger, rate=80.0) as traffic:
            for _ in range(25):
                fault = rng.choice(
                    ["error", "half", "spoilt", "restart", "hash", "lost", "clock", "flip", "fill"]
                )
                if fault in ("error", "half", "spoilt"):
                    registry.script.set_steps(Step(fault, count=rng.randint(1, 3)))
                elif fault == "restart":
                    registry.restart()
                elif fault == "hash":
                    registry.hashcode = rng.choice([None, "UP_99_"])
                elif fault == "lost":
                    registry.empty_deltas = rng.randint(1, 3)
                elif fault == "clock":
                    registry.clock_offset_s = rng.uniform(-100.0, 100.0)
                elif fault == "flip":
                    host = rng.choice(deployment.hosts[1:])
                    registry.override("ROSTER", host.name, rng.choice(["OUT_OF_SERVICE", "DOWN", ""]))
                else:
                    for host in deployment.hosts:
                        registry.register(deployment.instance(host))
                await traffic.wait_for_served(rng.randint(1, 15))

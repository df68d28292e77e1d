"""A Eureka registry as a source: outages, malformed and truncated responses, replicas, registration.

The tests run against an emulated registry, which is checked with a third-party client.
"""

import asyncio
import base64
import json
import sys

import pytest
from gateway_harness import run_on_uvloop

from apigateway import messages
from apigateway.emulators.eureka import EmulatedEureka, instance
from apigateway.emulators.script import Script, Step
from apigateway.membership.eureka.mapping import InstanceMapping
from apigateway.membership.eureka.registration import Registration, RegistrationSettings
from apigateway.membership.eureka.source import EurekaSource, RegistrySettings
from apigateway.membership.listing import EndpointListing
from apigateway.membership.reconciler import ReconcilerSettings

EMPTY_LISTING = EndpointListing(messages.EndpointList("cached", 0, ()), {})


class SourceHarness:
    """A source, the endpoints that its changes add up to, and the number of failed polls."""

    def __init__(self, *registries, clock=None, own_addresses=(), resolve=None, **settings):
        self.hosts, self.failure_count = {}, 0
        settings.setdefault("timeout", 0.5)
        self.source = EurekaSource(
            RegistrySettings(tuple(r.url for r in registries), **settings),
            EMPTY_LISTING,
            self.apply_change,
            self.count_failure,
            own_addresses,
            resolve,
            **({"clock": clock} if clock else {}),
            seed=1,
        )

    def apply_change(self, listing):
        for host in listing.endpoint_list.endpoints:
            self.hosts[host.id] = host
            if host.state == "down":
                del self.hosts[host.id]

    def count_failure(self):
        self.failure_count += 1

    def states(self):
        return {id: host.state for id, host in self.hosts.items()}

    async def __aenter__(self):
        return self

    async def poll(self):
        return await self.source.poll()

    async def __aexit__(self, *_):
        await self.source.close()


def make_registry(count=4, **options):
    registry = EmulatedEureka(**options)
    for n in range(count):
        registry.register(instance(f"node{n}", 8000 + n))
    return registry


@pytest.mark.parametrize(
    "base_path, response_format", [("/eureka/v2", "json"), ("/eureka", "json"), ("/eureka/v2", "xml")]
)
@run_on_uvloop
async def test_source_reads_the_list_and_applies_its_changes(base_path, response_format):
    async with (
        make_registry(base_path=base_path) as registry,
        SourceHarness(registry, response_format=response_format) as harness,
    ):
        assert await harness.poll() and harness.states() == dict.fromkeys(
            ["node0", "node1", "node2", "node3"], "up"
        )
        registry.override("ROSTER", "node1", "OUT_OF_SERVICE")
        registry.register(instance("node2", 8002, status="DOWN"))
        registry.cancel("ROSTER", "node3")
        registry.register(instance("node4", 8004))
        assert await harness.poll()
        assert harness.states() == {"node0": "up", "node1": "leaving", "node2": "leaving", "node4": "up"}
        registry.override("ROSTER", "node1", "")
        assert await harness.poll() and harness.states()["node1"] == "up"
        assert registry.call_counts == {"GET apps": 1, "GET delta": 2}


@pytest.mark.parametrize(
    "lookup, name, ids",
    [
        ("app", "roster", {"node0", "node1"}),
        ("vip", "other", {"node9"}),
        ("svip", "roster", {"node0", "node1"}),
        ("apps", "OTHER", {"node9"}),
    ],
)
@run_on_uvloop
async def test_lookup_by_app_vip_or_secure_vip_lists_its_instances(lookup, name, ids):
    async with make_registry(2) as registry, SourceHarness(registry, lookup=lookup, name=name) as harness:
        registry.register(instance("node9", 9000, app="OTHER"))
        assert await harness.poll() and set(harness.hosts) == ids
        # Not modified, if the registry sends an ETag.
        assert await harness.poll() and set(harness.hosts) == ids


@pytest.mark.parametrize("fault", ["silent", "error", "half", "spoilt", "endless", "raw"])
@run_on_uvloop
async def test_unusable_response_keeps_the_last_list(fault):
    async with (
        make_registry() as registry,
        SourceHarness(registry, timeout=0.3, max_response_bytes=200_000) as harness,
    ):
        registry.sends_etags = False
        await harness.poll()
        states_before = harness.states()
        if fault == "endless":
            registry.endless_bytes = 200 * 1024 * 1024
        elif fault == "raw":
            registry.raw_body = json.dumps({"applications": []}).encode()
        else:
            registry.script.set_steps(Step(fault))
        for _ in range(3):
            assert not await harness.poll()
        assert harness.states() == states_before and harness.failure_count == 3
        registry.script.set_steps()
        registry.endless_bytes, registry.raw_body = 0, None
        registry.register(instance("node9", 8009))
        # Changes are applied again at once.
        assert await harness.poll() and set(harness.hosts) == {*states_before, "node9"}


@run_on_uvloop
async def test_endpoints_stay_when_the_registry_restarts_empty_or_with_half_of_them():
    now = 1000.0
    async with (
        make_registry(10) as registry,
        SourceHarness(registry, clock=lambda: now, use_deltas=False) as harness,
    ):
        registry.sends_etags = False
        await harness.poll()
        registry.restart()
        for _ in range(50):
            now += 5.0
            assert await harness.poll() and len(harness.hosts) == 10
        for n in range(5):
            registry.register(instance(f"node{n}", 8000 + n))
        now += 5.0
        await harness.poll()
        # The others have long been missing, and their removal no longer empties the list.
        assert len(harness.hosts) == 5


@run_on_uvloop
async def test_hosts_are_replaced_when_their_ids_or_addresses_change():
    async with make_registry(3) as registry, SourceHarness(registry) as harness:
        await harness.poll()
        registry.restart()
        for n in range(3):
            registry.register(instance(f"other{n}", 8000 + n))
        harness.source.cache.has_complete_list = False  # requests the complete list, as after a failure
        await harness.poll()
        assert set(harness.hosts) == {"other0", "other1", "other2"}
        registry.register(instance("other0", 9999))
        await harness.poll()
        assert harness.source.reconciler.records["other0"].accepted.address == ("127.0.0.1", 9999)


@run_on_uvloop
async def test_lost_delta_leads_to_a_complete_list_and_a_wrong_hash_does_not_at_every_poll():
    now = 1000.0
    async with make_registry() as registry, SourceHarness(registry, clock=lambda: now) as harness:
        await harness.poll()
        registry.empty_deltas = 1
        registry.register(instance("node7", 8007))
        now += 60.0
        assert await harness.poll() and "node7" in harness.hosts
        assert registry.call_counts == {"GET apps": 2, "GET delta": 1}
        registry.hashcode = "UP_77_"
        for _ in range(120):
            now += 5.0
            assert await harness.poll()
        assert registry.call_counts["GET apps"] < 8 and registry.call_counts["GET delta"] > 110


@run_on_uvloop
async def test_malformed_instance_among_a_thousand_is_skipped_and_logged(caplog):
    async with make_registry(1000) as registry, SourceHarness(registry) as harness:
        registry.leases["ROSTER", "node500"].instance["port"] = {"$": "eighty"}
        assert await harness.poll() and len(harness.hosts) == 999
        assert any("node500" in text for text in harness.source.malformed) and "node500" in caplog.text


@run_on_uvloop
async def test_source_fails_over_and_an_older_report_of_a_replica_does_not_undo_a_drain():
    now = 1000.0
    async with (
        make_registry() as first,
        make_registry() as second,
        SourceHarness(first, second, clock=lambda: now) as harness,
    ):
        await harness.poll()
        first.override("ROSTER", "node0", "OUT_OF_SERVICE")
        await harness.poll()
        assert harness.states()["node0"] == "leaving"
        stale = second.leases["ROSTER", "node0"].instance
        second.leases["ROSTER", "node0"].instance = stale | {"lastDirtyTimestamp": "5"}  # lacks the override
        first.script.set_steps(Step("error", count=1))
        assert not await harness.poll()
        for _ in range(5):  # from the second registry, whose older report is ignored
            now += 1.0
            assert await harness.poll() and harness.states()["node0"] == "leaving"
        assert second.call_counts["GET apps"] == 1


@run_on_uvloop
async def test_lagging_emulated_replica_registers_late():
    async with make_registry(1) as primary, EmulatedEureka(replication_lag_s=0.02) as replica:
        primary.peer = replica
        primary.register(instance("node5", 8005))
        assert not replica.leases
        while not replica.leases:
            await asyncio.sleep(0.005)
        assert set(replica.leases) == {("ROSTER", "node5")}


@run_on_uvloop
async def test_credentials_are_sent_and_never_logged(caplog):
    async with make_registry() as registry:
        registry.expected_authorization = "Basic " + base64.b64encode(b"me:secret").decode()
        async with SourceHarness(registry, user="me", password="wrong") as harness:
            assert not await harness.poll()
        async with SourceHarness(registry, user="me", password="secret") as harness:
            assert await harness.poll() and len(harness.hosts) == 4
            assert "secret" not in caplog.text + repr(harness.source.settings)


@run_on_uvloop
async def test_host_names_are_resolved_and_own_addresses_are_excluded():
    resolved_names = []

    async def resolve(name):
        resolved_names.append(name)
        if name.startswith("node1"):
            raise OSError("no such name")
        return "127.0.0.9"

    async with (
        make_registry(3) as registry,
        SourceHarness(
            registry,
            mapping=InstanceMapping(address_source="name"),
            resolve=resolve,
            own_addresses={("127.0.0.9", 8002)},
        ) as harness,
    ):
        await harness.poll()
        assert set(harness.hosts) == {"node0"} and len(resolved_names) == 3


@run_on_uvloop
async def test_emulated_leases_expire_unless_self_preservation_is_on():
    now = 1000.0
    for protect, remaining in ((False, {"node9"}), (True, {"node9", "node0"})):
        registry = EmulatedEureka(self_preservation=protect, clock=lambda: now)  # noqa: B023 - used only in this iteration
        registry.register(instance("node0", 8000, duration_s=10))
        registry.register(instance("node9", 8009, duration_s=10))
        now += 8.0
        assert registry.renew("ROSTER", "node9")
        now += 8.0
        registry.expire()
        assert {id for _, id in registry.leases} == remaining


@run_on_uvloop
async def test_watch_polls_continuously_and_retries_after_failures():
    async with (
        make_registry(script=Script([Step("error", count=3)])) as registry,
        SourceHarness(registry, poll_interval=0.01) as harness,
    ):
        harness.source.watch(True)
        while not harness.hosts:
            await asyncio.sleep(0.005)
        assert harness.failure_count == 3
        registry.register(instance("node9", 8009))
        while "node9" not in harness.hosts:
            await asyncio.sleep(0.005)
        harness.source.watch(False)


@run_on_uvloop
async def test_doubt_ends_by_time_between_polls():
    async with (
        make_registry(4) as registry,
        SourceHarness(registry, use_deltas=False, reconciler=ReconcilerSettings(doubt_time=0.05)) as harness,
    ):
        registry.sends_etags = False
        await harness.poll()
        registry.restart()
        registry.register(instance("node0", 8000))
        await harness.poll()
        await harness.poll()
        while len(harness.hosts) > 1:
            await asyncio.sleep(0.005)


REGISTRATION_SETTINGS = RegistrationSettings(
    "gateway", "gw:1", "gw.example.org", "127.0.0.1", 6379, renewal_interval=0.02, lease_duration=30.0
)


def registered_status(registry):
    lease = registry.leases.get(("GATEWAY", "gw:1"))
    return lease.status if lease else None


@run_on_uvloop
async def test_registration_registers_renews_changes_status_and_deregisters():
    async with EmulatedEureka() as registry:
        registration = Registration((registry.url,), REGISTRATION_SETTINGS)
        registration.start()
        while registered_status(registry) != "STARTING":
            await asyncio.sleep(0.005)
        registration.mark_up()
        while registered_status(registry) != "UP":
            await asyncio.sleep(0.005)
        while registry.call_counts["PUT apps"] < 2:
            await asyncio.sleep(0.005)
        registry.restart()  # loses the registration, so that the renewal receives 404
        while registered_status(registry) != "UP":
            await asyncio.sleep(0.005)
        await registration.mark_down()
        assert registered_status(registry) == "DOWN"
        await registration.deregister()
        assert registered_status(registry) is None


@run_on_uvloop
async def test_unreachable_registry_delays_neither_start_nor_stop(monkeypatch):
    monkeypatch.setattr("apigateway.membership.eureka.registration.FINAL_CALL_TIMEOUT_S", 0.05)
    async with EmulatedEureka(script=Script([Step("error", count=4)])) as registry:
        registration = Registration((registry.url, registry.url), REGISTRATION_SETTINGS)
        registration.start()
        registration.mark_up()
        while registered_status(registry) != "UP":
            await asyncio.sleep(0.005)
    await registration.mark_down()
    await registration.deregister()


THIRD_PARTY_CLIENT = """
import asyncio, os, sys
from py_eureka_client import eureka_basic, eureka_client
url = sys.argv[1]
async def main():
    client = eureka_client.EurekaClient(
        eureka_server=url, app_name="roster", instance_port=8123, instance_ip="127.0.0.1",
        instance_host="node7.rota.example.org", instance_id="node7:8123", renewal_interval_in_secs=1,
        duration_in_secs=30, metadata={"zone": "east"}, should_discover=False)
    await client.start()
    read = await eureka_basic.get_applications(url)
    print(read.get_application("ROSTER").get_instance("node7:8123").port.port, flush=True)
    await asyncio.to_thread(sys.stdin.readline)
    await client.stop()
asyncio.run(main())
print("gone", flush=True)
os._exit(0)  # its threads would keep the process alive
"""


@run_on_uvloop
async def test_emulated_registry_serves_a_third_party_client():
    """Checks the emulated registry with py-eureka-client, and the source with what that client wrote."""
    async with EmulatedEureka(base_path="/eureka") as registry, SourceHarness(registry) as harness:
        pipe = asyncio.subprocess.PIPE
        client_process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            THIRD_PARTY_CLIENT,
            registry.url,
            stdin=pipe,
            stdout=pipe,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert await client_process.stdout.readline() == b"8123\n"
        assert await harness.poll() and harness.states() == {"node7:8123": "up"}
        assert harness.hosts["node7:8123"].zone == "east"
        while not registry.call_counts["PUT apps"]:
            await asyncio.sleep(0.01)
        client_process.stdin.write(b"\n")
        assert await client_process.stdout.readline() == b"gone\n"
        assert not registry.leases and await client_process.wait() == 0

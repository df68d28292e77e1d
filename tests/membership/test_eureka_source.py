"""A registry as a source, against the stand-in: silence, lies, cut answers, replicas, a foreign client."""

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

NOTHING = EndpointListing(messages.EndpointList("cached", 0, ()), {})


class Watched:
    """A source and what it has told, put together."""

    def __init__(self, *registries, clock=None, own=(), resolve=None, **kw):
        self.hosts, self.failed = {}, 0
        kw.setdefault("timeout", 0.5)
        self.source = EurekaSource(
            RegistrySettings(tuple(r.url for r in registries), **kw),
            NOTHING,
            self.told,
            self.fail,
            own,
            resolve,
            **({"clock": clock} if clock else {}),
            seed=1,
        )

    def told(self, listing):
        for host in listing.endpoint_list.endpoints:
            self.hosts[host.id] = host
            if host.state == "down":
                del self.hosts[host.id]

    def fail(self):
        self.failed += 1

    def states(self):
        return {id: host.state for id, host in self.hosts.items()}

    async def __aenter__(self):
        return self

    async def poll(self):
        return await self.source.poll()

    async def __aexit__(self, *_):
        await self.source.close()


def filled(count=4, **kw):
    registry = EmulatedEureka(**kw)
    for n in range(count):
        registry.register(instance(f"node{n}", 8000 + n))
    return registry


@pytest.mark.parametrize("base, form", [("/eureka/v2", "json"), ("/eureka", "json"), ("/eureka/v2", "xml")])
@run_on_uvloop
async def test_source_reads_the_list_and_follows_its_changes(base, form):
    async with filled(base=base) as registry, Watched(registry, response_format=form) as seen:
        assert await seen.poll() and seen.states() == dict.fromkeys(
            ["node0", "node1", "node2", "node3"], "up"
        )
        registry.override("ROSTER", "node1", "OUT_OF_SERVICE")
        registry.register(instance("node2", 8002, status="DOWN"))
        registry.cancel("ROSTER", "node3")
        registry.register(instance("node4", 8004))
        assert await seen.poll()
        assert seen.states() == {"node0": "up", "node1": "leaving", "node2": "leaving", "node4": "up"}
        registry.override("ROSTER", "node1", "")
        assert await seen.poll() and seen.states()["node1"] == "up"
        assert registry.calls == {"GET apps": 1, "GET delta": 2}


@pytest.mark.parametrize(
    "by, name, ids",
    [
        ("app", "roster", {"node0", "node1"}),
        ("vip", "other", {"node9"}),
        ("svip", "roster", {"node0", "node1"}),
        ("apps", "OTHER", {"node9"}),
    ],
)
@run_on_uvloop
async def test_lookup_by_app_vip_or_secure_vip_lists_their_instances(by, name, ids):
    async with filled(2) as registry, Watched(registry, lookup=by, name=name) as seen:
        registry.register(instance("node9", 9000, app="OTHER"))
        assert await seen.poll() and set(seen.hosts) == ids
        assert await seen.poll() and set(seen.hosts) == ids  # by its ETag, where it gives one


@pytest.mark.parametrize("how", ["silent", "error", "half", "spoilt", "endless", "raw"])
@run_on_uvloop
async def test_response_when_unusable_then_the_list_stays(how):
    async with filled() as registry, Watched(registry, timeout=0.3, max_response_bytes=200_000) as seen:
        registry.etags = False
        await seen.poll()
        before = seen.states()
        if how == "endless":
            registry.endless = 200 * 1024 * 1024
        elif how == "raw":
            registry.raw = json.dumps({"applications": []}).encode()
        else:
            registry.script.play(Step(how))
        for _ in range(3):
            assert not await seen.poll()
        assert seen.states() == before and seen.failed == 3
        registry.script.play()
        registry.endless, registry.raw = 0, None
        registry.register(instance("node9", 8009))
        assert await seen.poll() and set(seen.hosts) == {*before, "node9"}  # followed at once


@run_on_uvloop
async def test_registry_when_it_returns_empty_or_with_half_then_endpoints_stay():
    now = 1000.0
    async with filled(10) as registry, Watched(registry, clock=lambda: now, use_deltas=False) as seen:
        registry.etags = False
        await seen.poll()
        registry.restart()
        for _ in range(50):
            now += 5.0
            assert await seen.poll() and len(seen.hosts) == 10
        for n in range(5):
            registry.register(instance(f"node{n}", 8000 + n))
        now += 5.0
        await seen.poll()
        assert len(seen.hosts) == 5  # the others have been missing for long, and some are named again


@run_on_uvloop
async def test_hosts_when_ids_or_addresses_change_then_are_replaced():
    async with filled(3) as registry, Watched(registry) as seen:
        await seen.poll()
        registry.restart()
        for n in range(3):
            registry.register(instance(f"other{n}", 8000 + n))
        seen.source.cache.is_filled = False  # it asks for all, as after any trouble
        await seen.poll()
        assert set(seen.hosts) == {"other0", "other1", "other2"}
        registry.register(instance("other0", 9999))
        await seen.poll()
        assert seen.source.reconciler.records["other0"].accepted.address == ("127.0.0.1", 9999)


@run_on_uvloop
async def test_delta_when_lost_then_a_complete_list_follows_and_a_wrong_hash_causes_no_storm():
    now = 1000.0
    async with filled() as registry, Watched(registry, clock=lambda: now) as seen:
        await seen.poll()
        registry.lost = 1
        registry.register(instance("node7", 8007))
        now += 60.0
        assert await seen.poll() and "node7" in seen.hosts
        assert registry.calls == {"GET apps": 2, "GET delta": 1}
        registry.hashcode = "UP_77_"
        for _ in range(120):
            now += 5.0
            assert await seen.poll()
        assert registry.calls["GET apps"] < 8 and registry.calls["GET delta"] > 110


@run_on_uvloop
async def test_instance_when_malformed_among_a_thousand_then_is_left_out_and_logged(caplog):
    async with filled(1000) as registry, Watched(registry) as seen:
        registry.leases["ROSTER", "node500"].told["port"] = {"$": "eighty"}
        assert await seen.poll() and len(seen.hosts) == 999
        assert any("node500" in text for text in seen.source.malformed) and "node500" in caplog.text


@run_on_uvloop
async def test_registry_when_away_then_fails_over_and_contradicting_replicas_do_no_harm():
    now = 1000.0
    async with filled() as one, filled() as other, Watched(one, other, clock=lambda: now) as seen:
        await seen.poll()
        one.override("ROSTER", "node0", "OUT_OF_SERVICE")
        await seen.poll()
        assert seen.states()["node0"] == "leaving"
        stale = other.leases["ROSTER", "node0"].told
        other.leases["ROSTER", "node0"].told = stale | {"lastDirtyTimestamp": "5"}  # it has not heard of it
        one.script.play(Step("error", count=1))
        assert not await seen.poll()
        for _ in range(5):  # asks the other one from here on: older news brings nothing back
            now += 1.0
            assert await seen.poll() and seen.states()["node0"] == "leaving"
        assert other.calls["GET apps"] == 1


@run_on_uvloop
async def test_emulated_replicas_when_lagging_then_register_late():
    async with filled(1) as one, EmulatedEureka(lag=0.02) as other:
        one.peer = other
        one.register(instance("node5", 8005))
        assert not other.leases
        while not other.leases:
            await asyncio.sleep(0.005)
        assert set(other.leases) == {("ROSTER", "node5")}


@run_on_uvloop
async def test_credentials_are_sent_and_never_logged(caplog):
    async with filled() as registry:
        registry.auth = "Basic " + base64.b64encode(b"me:secret").decode()
        async with Watched(registry, user="me", password="wrong") as seen:
            assert not await seen.poll()
        async with Watched(registry, user="me", password="secret") as seen:
            assert await seen.poll() and len(seen.hosts) == 4
            assert "secret" not in caplog.text + repr(seen.source.registry)


@run_on_uvloop
async def test_host_names_are_resolved_and_own_addresses_left_out():
    looked = []

    async def resolve(name):
        looked.append(name)
        if name.startswith("node1"):
            raise OSError("no such name")
        return "127.0.0.9"

    async with (
        filled(3) as registry,
        Watched(
            registry,
            mapping=InstanceMapping(address_source="name"),
            resolve=resolve,
            own={("127.0.0.9", 8002)},
        ) as seen,
    ):
        await seen.poll()
        assert set(seen.hosts) == {"node0"} and len(looked) == 3


@run_on_uvloop
async def test_leases_expire_but_not_under_self_preservation():
    now = 1000.0
    for protect, left in ((False, {"node9"}), (True, {"node9", "node0"})):
        registry = EmulatedEureka(protect=protect, clock=lambda: now)  # noqa: B023 - read in this turn only
        registry.register(instance("node0", 8000, duration=10))
        registry.register(instance("node9", 8009, duration=10))
        now += 8.0
        assert registry.renew("ROSTER", "node9")
        now += 8.0
        registry.expire()
        assert {id for _, id in registry.leases} == left


@run_on_uvloop
async def test_watch_polls_by_itself_and_backs_off_while_nothing_answers():
    async with (
        filled(script=Script([Step("error", count=3)])) as registry,
        Watched(registry, poll_interval=0.01) as seen,
    ):
        seen.source.watch(True)
        while not seen.hosts:
            await asyncio.sleep(0.005)
        assert seen.failed == 3
        registry.register(instance("node9", 8009))
        while "node9" not in seen.hosts:
            await asyncio.sleep(0.005)
        seen.source.watch(False)


@run_on_uvloop
async def test_doubt_ends_by_time_between_polls():
    async with (
        filled(4) as registry,
        Watched(registry, use_deltas=False, reconciler=ReconcilerSettings(doubt_time=0.05)) as seen,
    ):
        registry.etags = False
        await seen.poll()
        registry.restart()
        registry.register(instance("node0", 8000))
        await seen.poll()
        await seen.poll()
        while len(seen.hosts) > 1:
            await asyncio.sleep(0.005)


OWN = RegistrationSettings(
    "gateway", "gw:1", "gw.example.org", "127.0.0.1", 6379, renewal_interval=0.02, lease_duration=30.0
)


def our(registry):
    lease = registry.leases.get(("GATEWAY", "gw:1"))
    return lease.status if lease else None


@run_on_uvloop
async def test_registration_registers_renews_marks_up_and_down_and_deregisters():
    async with EmulatedEureka() as registry:
        own = Registration((registry.url,), OWN)
        own.start()
        while our(registry) != "STARTING":
            await asyncio.sleep(0.005)
        own.mark_up()
        while our(registry) != "UP":
            await asyncio.sleep(0.005)
        while registry.calls["PUT apps"] < 2:
            await asyncio.sleep(0.005)
        registry.restart()  # it has forgotten us: a renewal hears 404
        while our(registry) != "UP":
            await asyncio.sleep(0.005)
        await own.mark_down()
        assert our(registry) == "DOWN"
        await own.deregister()
        assert our(registry) is None


@run_on_uvloop
async def test_registration_when_the_registry_is_away_then_delays_neither_start_nor_stop(monkeypatch):
    monkeypatch.setattr("apigateway.membership.eureka.registration.FINAL_CALL_TIMEOUT_S", 0.05)
    async with EmulatedEureka(script=Script([Step("error", count=4)])) as registry:
        own = Registration((registry.url, registry.url), OWN)
        own.start()
        own.mark_up()
        while our(registry) != "UP":
            await asyncio.sleep(0.005)
    await own.mark_down()
    await own.deregister()


FOREIGN = """
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
os._exit(0)  # its threads go on otherwise
"""


@run_on_uvloop
async def test_emulated_registry_serves_a_foreign_client():
    """py-eureka-client, which others wrote: the stand-in speaks the protocol, and our source reads what it
    wrote."""
    async with EmulatedEureka(base="/eureka") as registry, Watched(registry) as seen:
        pipe = asyncio.subprocess.PIPE
        foreign = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            FOREIGN,
            registry.url,
            stdin=pipe,
            stdout=pipe,
            stderr=asyncio.subprocess.DEVNULL,
        )
        assert await foreign.stdout.readline() == b"8123\n"
        assert await seen.poll() and seen.states() == {"node7:8123": "up"}
        assert seen.hosts["node7:8123"].zone == "east"
        while not registry.calls["PUT apps"]:
            await asyncio.sleep(0.01)
        foreign.stdin.write(b"\n")
        assert await foreign.stdout.readline() == b"gone\n"
        assert not registry.leases and await foreign.wait() == 0

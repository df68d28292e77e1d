"""Hand-over under load: whatever becomes of the successor, no request is lost and no connection refused."""

import asyncio
import contextlib
import json
import os
import signal
import socket

import pytest
from gateway_harness import (
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_host_entry,
    run_on_uvloop,
)
from local_deployment import LEDGER_TERMS, BackgroundTraffic, LocalDeployment, free_port

from apigateway import messages
from apigateway.daemon.handover_channel import HandoverChannel
from apigateway.emulators.ledger import Ledger
from apigateway.membership.listing import EndpointListing, listing_from_json
from apigateway.membership.reconciler import ReconcilerSettings, ReportedEndpoint
from apigateway.membership.reconciler_driver import ReconcilerDriver


async def hand(site):
    """A connection that says it is a successor: the first answers, and the channel to go on with."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.connect(str(site.folder / "state" / "handover"))
    channel = HandoverChannel(sock)
    await channel.send({"take": 1})
    told, descriptors = await channel.receive_with_descriptors(5.0)
    for number in descriptors:
        os.close(number)
    return told, channel


@run_on_uvloop
async def test_a_successor_takes_over_and_another_from_that_one(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with LocalDeployment(tmp_path, ledger=ledger) as site:
        first = await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            second = await site.start_gateway("--take-over")
            assert await first.wait() == 0
            await load.wait_for_served(30)
            third = await site.start_gateway("--take-over")
            assert await second.wait() == 0
            await load.wait_for_served(30)
            assert third.returncode is None


@pytest.mark.parametrize(
    "how", ["crashes at once", "is killed before it is ready", "says ready and dies", "talks nonsense"]
)
@run_on_uvloop
async def test_a_successor_that_fails_leaves_the_old_one_serving(how, tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with LocalDeployment(tmp_path, ledger=ledger) as site:
        first = await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            if how == "crashes at once":
                site.write_settings(rules="drain_grace = -1")
                broken = await site.start_gateway("--take-over", ready=False)
                assert await broken.wait() == 2
            else:
                told, channel = await hand(site)
                assert told["listeners"] == [f"127.0.0.1:{site.port}"]
                assert "known" in await channel.receive(5.0)
                if how == "says ready and dies":
                    await channel.send({"ready": True})
                    assert (await channel.receive(5.0))["go"]  # the old one accepts no more
                elif how == "talks nonsense":
                    channel.sock.sendall(b"\xff\n")
                channel.close()
                await site.wait_for_log_line(first, b"this process continues to serve")
            await load.wait_for_served(30)
            site.write_settings()
            await site.start_gateway("--take-over")  # the next one can
            assert await first.wait() == 0
            await load.wait_for_served(30)


@run_on_uvloop
async def test_a_successor_that_never_gets_ready_is_given_up(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with LocalDeployment(tmp_path, ledger=ledger) as site:
        site.write_settings(daemon="handover_wait = 0.3")
        first = await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            _, channel = await hand(site)
            await site.wait_for_log_line(first, b"no message received within")
            await load.wait_for_served(30)
            channel.close()
            assert first.returncode is None


@run_on_uvloop
async def test_of_two_successors_at_once_one_is_told_to_try_again(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with LocalDeployment(tmp_path, ledger=ledger) as site:
        first = await site.start_gateway()
        async with BackgroundTraffic(site, ledger) as load:
            _, channel = await hand(site)
            second = await site.start_gateway("--take-over", ready=False)
            assert await second.wait() == 75 and b"try again" in await second.stderr.read()
            channel.close()
            await site.wait_for_log_line(first, b"this process continues to serve")
            await load.wait_for_served(30)


@run_on_uvloop
async def test_the_successor_serves_by_its_own_settings(tmp_path):
    async with LocalDeployment(tmp_path) as site:
        first = await site.start_gateway()
        more = free_port()
        site.write_settings([site.port, more], limits="max_attempts = 2")
        await site.start_gateway("--take-over")
        assert await first.wait() == 0
        assert (await site.send_request(make_command(b"a"), more)).startswith(b"$")
        assert (await site.send_request(make_command(b"b"))).startswith(b"$")


@run_on_uvloop
async def test_a_port_that_was_drawn_is_handed_over(tmp_path):
    async with LocalDeployment(tmp_path) as site:
        site.write_settings([0])
        first = await site.start_gateway(ready=False)
        port = int((await site.wait_for_log_line(first, b"listens on")).rsplit(b":", 1)[1])
        second = await site.start_gateway("--take-over", ready=False)
        assert int((await site.wait_for_log_line(second, b"listens on")).rsplit(b":", 1)[1]) == port
        assert await first.wait() == 0
        assert (await site.send_request(make_command(), port)).startswith(b"$")


@run_on_uvloop
async def test_what_the_old_one_took_is_answered_by_it(tmp_path):
    async with LocalDeployment(tmp_path, hosts=1, answer=lambda: None) as site:
        first = await site.start_gateway()
        asked = asyncio.ensure_future(site.send_request(make_command(b"before")))
        await site.hosts[0].arrivals.get()
        await site.start_gateway("--take-over")
        assert first.returncode is None
        site.hosts[0].writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await asked == VALUE_REPLY
        assert await first.wait() == 0


@run_on_uvloop
async def test_nobody_to_take_over_from_and_a_folder_in_use(tmp_path):
    async with LocalDeployment(tmp_path) as site:
        alone = await site.start_gateway("--take-over", ready=False)
        assert (
            await alone.wait() == 1 and b"no running gateway to take over from" in await alone.stderr.read()
        )
        await site.start_gateway()
        site.write_settings([free_port()])
        second = await site.start_gateway(ready=False)
        assert await second.wait() == 1
        said = await second.stderr.read()
        assert b"in use by process %d" % site.processes[1].pid in said


@run_on_uvloop
async def test_a_killed_gateway_leaves_its_folder_free(tmp_path):
    async with LocalDeployment(tmp_path) as site:
        first = await site.start_gateway()
        first.send_signal(signal.SIGKILL)
        await first.wait()
        await site.start_gateway()
        assert (await site.send_request(make_command())).startswith(b"$")


@run_on_uvloop
async def test_a_long_list_of_hosts_is_handed_over_whole():
    one, other = socket.socketpair()
    left, right = HandoverChannel(one), HandoverChannel(other)
    known = {"servers": [{"id": f"h{n}", "addr": "127.0.0.1:1"} for n in range(20_000)]}
    with contextlib.closing(left), contextlib.closing(right):
        heard = asyncio.ensure_future(right.receive(5.0))
        await left.send({"known": known})
        assert (await heard)["known"] == known
        assert len(json.dumps(known)) > 500_000


@pytest.mark.parametrize("ours, theirs", [("draining", "up"), ("up", "draining"), ("draining", "draining")])
@run_on_uvloop
async def test_what_either_process_was_told_to_drain_drains(ours, theirs, tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        harness.discovery.silent = True  # nothing mends it meanwhile
        mine, yours = (
            [make_host_entry(one, "h1", state), make_host_entry(two, "h2")] for state in (ours, theirs)
        )
        harness.server.endpoint_list.apply(listing_from_json({"version": 2, "full": True, "servers": mine}))
        harness.server.reset_decision_module(
            listing_from_json({"version": 1, "full": True, "servers": yours}, "cached")
        )
        assert [s.host.id for s in harness.server.core.module.pool.available] == ["h2"]
        for n in range(4):
            assert await harness.send_command(make_command(b"r%d" % n)) == VALUE_REPLY
        assert not one.commands and len(two.commands) == 4


@run_on_uvloop
async def test_a_drain_taken_over_through_a_belief_is_mended_by_its_source():
    told = []
    judge = ReconcilerDriver(
        ReconcilerSettings(calm_time=0.0),
        EndpointListing(messages.EndpointList("cached", 0, ()), {}),
        told.append,
        lambda: 100.0,
    )
    up = [
        ReportedEndpoint(
            messages.Endpoint("h1", "a", 0, 1.0, "", "up", 0.0), ("127.0.0.1", 1), timestamp_ms=7
        )
    ]
    judge.apply(up, is_complete=True)
    judge.mark_draining(["h1", "unknown"])
    assert told[-1].endpoint_list.endpoints[0].state == "leaving"
    judge.apply(up, is_complete=True)
    assert told[-1].endpoint_list.endpoints[0].state == "up"

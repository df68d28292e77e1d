"""Hand-over under load: whatever happens to the successor, no request is lost and no connection refused."""

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


async def connect_as_successor(deployment):
    """Connect as a successor, and return the first message and the channel."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.connect(str(deployment.folder / "state" / "handover"))
    channel = HandoverChannel(sock)
    await channel.send({"take": 1})
    message, descriptors = await channel.receive_with_descriptors(5.0)
    for descriptor in descriptors:
        os.close(descriptor)
    return message, channel


@run_on_uvloop
async def test_two_successors_take_over_one_after_the_other(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with LocalDeployment(tmp_path, ledger=ledger) as deployment:
        first = await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as traffic:
            second = await deployment.start_gateway("--take-over")
            assert await first.wait() == 0
            await traffic.wait_for_served(30)
            third = await deployment.start_gateway("--take-over")
            assert await second.wait() == 0
            await traffic.wait_for_served(30)
            assert third.returncode is None


@pytest.mark.parametrize(
    "failure", ["crashes at once", "is killed before it is ready", "says ready and dies", "talks nonsense"]
)
@run_on_uvloop
async def test_old_process_serves_on_when_its_successor_fails(failure, tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with LocalDeployment(tmp_path, ledger=ledger) as deployment:
        first = await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as traffic:
            if failure == "crashes at once":
                deployment.write_settings(rules="drain_grace = -1")
                failed_process = await deployment.start_gateway("--take-over", ready=False)
                assert await failed_process.wait() == 2
            else:
                message, channel = await connect_as_successor(deployment)
                assert message["listeners"] == [f"127.0.0.1:{deployment.port}"]
                assert "known" in await channel.receive(5.0)
                if failure == "says ready and dies":
                    await channel.send({"ready": True})
                    assert (await channel.receive(5.0))["go"]  # the old process no longer accepts connections
                elif failure == "talks nonsense":
                    channel.sock.sendall(b"\xff\n")
                channel.close()
                await deployment.wait_for_log_line(first, b"this process continues to serve")
            await traffic.wait_for_served(30)
            deployment.write_settings()
            await deployment.start_gateway("--take-over")  # the next successor succeeds
            assert await first.wait() == 0
            await traffic.wait_for_served(30)


@run_on_uvloop
async def test_successor_that_never_becomes_ready_is_abandoned(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with LocalDeployment(tmp_path, ledger=ledger) as deployment:
        deployment.write_settings(daemon="handover_wait = 0.3")
        first = await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as traffic:
            _, channel = await connect_as_successor(deployment)
            await deployment.wait_for_log_line(first, b"no message received within")
            await traffic.wait_for_served(30)
            channel.close()
            assert first.returncode is None


@run_on_uvloop
async def test_second_successor_at_the_same_time_exits_with_try_again(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with LocalDeployment(tmp_path, ledger=ledger) as deployment:
        first = await deployment.start_gateway()
        async with BackgroundTraffic(deployment, ledger) as traffic:
            _, channel = await connect_as_successor(deployment)
            second = await deployment.start_gateway("--take-over", ready=False)
            assert await second.wait() == 75 and b"try again" in await second.stderr.read()
            channel.close()
            await deployment.wait_for_log_line(first, b"this process continues to serve")
            await traffic.wait_for_served(30)


@run_on_uvloop
async def test_successor_uses_its_own_settings(tmp_path):
    async with LocalDeployment(tmp_path) as deployment:
        first = await deployment.start_gateway()
        added_port = free_port()
        deployment.write_settings([deployment.port, added_port], limits="max_attempts = 2")
        await deployment.start_gateway("--take-over")
        assert await first.wait() == 0
        assert (await deployment.send_request(make_command(b"a"), added_port)).startswith(b"$")
        assert (await deployment.send_request(make_command(b"b"))).startswith(b"$")


@run_on_uvloop
async def test_ephemeral_port_is_handed_over(tmp_path):
    async with LocalDeployment(tmp_path) as deployment:
        deployment.write_settings([0])
        first = await deployment.start_gateway(ready=False)
        port = int((await deployment.wait_for_log_line(first, b"listens on")).rsplit(b":", 1)[1])
        second = await deployment.start_gateway("--take-over", ready=False)
        assert int((await deployment.wait_for_log_line(second, b"listens on")).rsplit(b":", 1)[1]) == port
        assert await first.wait() == 0
        assert (await deployment.send_request(make_command(), port)).startswith(b"$")


@run_on_uvloop
async def test_old_process_answers_the_requests_it_accepted(tmp_path):
    async with LocalDeployment(tmp_path, hosts=1, answer=lambda: None) as deployment:
        first = await deployment.start_gateway()
        response = asyncio.ensure_future(deployment.send_request(make_command(b"before")))
        await deployment.hosts[0].arrivals.get()
        await deployment.start_gateway("--take-over")
        assert first.returncode is None
        deployment.hosts[0].writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await response == VALUE_REPLY
        assert await first.wait() == 0


@run_on_uvloop
async def test_take_over_without_a_gateway_and_start_with_a_locked_state_folder_fail(tmp_path):
    async with LocalDeployment(tmp_path) as deployment:
        process = await deployment.start_gateway("--take-over", ready=False)
        assert (
            await process.wait() == 1
            and b"no running gateway to take over from" in await process.stderr.read()
        )
        await deployment.start_gateway()
        deployment.write_settings([free_port()])
        second = await deployment.start_gateway(ready=False)
        assert await second.wait() == 1
        log_text = await second.stderr.read()
        assert b"in use by process %d" % deployment.processes[1].pid in log_text


@run_on_uvloop
async def test_killed_gateway_releases_its_state_folder(tmp_path):
    async with LocalDeployment(tmp_path) as deployment:
        first = await deployment.start_gateway()
        first.send_signal(signal.SIGKILL)
        await first.wait()
        await deployment.start_gateway()
        assert (await deployment.send_request(make_command())).startswith(b"$")


@run_on_uvloop
async def test_long_host_list_is_handed_over_completely():
    one, other = socket.socketpair()
    left, right = HandoverChannel(one), HandoverChannel(other)
    endpoint_list = {"servers": [{"id": f"h{n}", "addr": "127.0.0.1:1"} for n in range(20_000)]}
    with contextlib.closing(left), contextlib.closing(right):
        received = asyncio.ensure_future(right.receive(5.0))
        await left.send({"known": endpoint_list})
        assert (await received)["known"] == endpoint_list
        assert len(json.dumps(endpoint_list)) > 500_000


@pytest.mark.parametrize("ours, theirs", [("draining", "up"), ("up", "draining"), ("draining", "draining")])
@run_on_uvloop
async def test_host_that_drains_in_either_process_drains_after_the_hand_over(ours, theirs, tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        harness.discovery.silent = True  # no update corrects the states during the test
        our_entries, their_entries = (
            [make_host_entry(one, "h1", state), make_host_entry(two, "h2")] for state in (ours, theirs)
        )
        harness.server.endpoint_list.apply(
            listing_from_json({"version": 2, "full": True, "servers": our_entries})
        )
        harness.server.reset_decision_module(
            listing_from_json({"version": 1, "full": True, "servers": their_entries}, "cached")
        )
        assert [s.host.id for s in harness.server.core.module.pool.available] == ["h2"]
        for n in range(4):
            assert await harness.send_command(make_command(b"r%d" % n)) == VALUE_REPLY
        assert not one.commands and len(two.commands) == 4


@run_on_uvloop
async def test_drain_that_was_handed_over_is_undone_by_the_reconcilers_source():
    updates = []
    driver = ReconcilerDriver(
        ReconcilerSettings(calm_time=0.0),
        EndpointListing(messages.EndpointList("cached", 0, ()), {}),
        updates.append,
        lambda: 100.0,
    )
    reported = [
        ReportedEndpoint(
            messages.Endpoint("h1", "a", 0, 1.0, "", "up", 0.0), ("127.0.0.1", 1), timestamp_ms=7
        )
    ]
    driver.apply(reported, is_complete=True)
    driver.mark_draining(["h1", "unknown"])
    assert updates[-1].endpoint_list.endpoints[0].state == "leaving"
    driver.apply(reported, is_complete=True)
    assert updates[-1].endpoint_list.endpoints[0].state == "up"

"""A discovery service that several gateways poll and that sheds load, on real sockets."""

import asyncio
import copy
import random
from contextlib import AsyncExitStack

import pytest
from gateway_harness import (
    SETTINGS,
    VALUE_REPLY,
    EmulatedDiscovery,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_host_entry,
    run_on_uvloop,
)

from apigateway.emulators.discovery import CallCapacity
from apigateway.membership.watch_schedule import WatchPacer, WatchSchedule

GATEWAY_COUNT = 6
DRAIN_GRACES_S = [0.3, 0.5, 2.0]
SILENT_WATCH_LIMIT_S = 6.0  # after this time a change that an unanswered watch missed counts as known
RESPONSE_TIME_S = 1.4  # of a service that is not overloaded


def make_polled_settings(drain_grace_s):
    settings = copy.deepcopy(SETTINGS)
    settings["registry_mode"] = "on_request"
    settings["rules"]["drain_grace"] = int(drain_grace_s * 1e9)
    return settings


async def wait_for_all(harnesses, condition):
    """Wait until the condition holds at all gateways."""
    while not all(condition(harness.server.upstream.pools) for harness in harnesses):
        await asyncio.sleep(0.01)


async def start_fleet(stack, service, hosts, tmp_path, drain_grace_s):
    """Start gateways that know two hosts and wait until all have received the third from the service."""
    harnesses = []
    for number in range(GATEWAY_COUNT):
        folder = tmp_path / str(number)
        folder.mkdir()
        harness = GatewayHarness(
            *hosts[:2], path=folder, settings=make_polled_settings(drain_grace_s), shared_discovery=service
        )
        harnesses.append(await stack.enter_async_context(harness))
    await wait_for_all(harnesses, lambda pools: "h3" in pools)
    return harnesses


async def start_service(stack):
    """Start a service that answers three calls a second and rejects calls that would wait over 2 s."""
    hosts = [await stack.enter_async_context(EmulatedHost()) for _ in range(3)]
    service = await stack.enter_async_context(EmulatedDiscovery())
    service.servers = [make_host_entry(host, f"h{number}") for number, host in enumerate(hosts[:2], 1)]
    service.apply_changes([make_host_entry(hosts[2], "h3")])
    service.capacity = CallCapacity(call_work_s=0.33, rejection_work_s=0.03, max_wait_s=2.0)
    return service, hosts


@pytest.mark.parametrize("drain_grace_s", DRAIN_GRACES_S)
@run_on_uvloop
async def test_gateways_receive_a_drain_when_their_watches_stop_and_the_service_sheds_load(
    drain_grace_s, tmp_path
):
    async with AsyncExitStack() as stack:
        service, hosts = await start_service(stack)
        harnesses = await start_fleet(stack, service, hosts, tmp_path, drain_grace_s)
        service.silence_watches()
        service.apply_changes([make_host_entry(hosts[0], "h1", "draining")])
        await wait_for_all(harnesses, lambda pools: "h1" not in pools)
        command_count = len(hosts[0].commands)
        for number, harness in enumerate(harnesses):
            assert await harness.send_command(make_command(b"r%d" % number)) == VALUE_REPLY
        assert len(hosts[0].commands) == command_count


@run_on_uvloop
async def test_gateways_receive_a_drain_when_the_service_recovers_from_an_outage(tmp_path):
    async with AsyncExitStack() as stack:
        service, hosts = await start_service(stack)
        harnesses = await start_fleet(stack, service, hosts, tmp_path, 0.5)
        service.silence_watches()
        service.silent = True
        while not service.calls.empty():
            service.calls.get_nowait()
        for _ in range(2 * GATEWAY_COUNT):
            await service.calls.get()  # the gateways retry during the outage
        service.silent = False
        service.apply_changes([make_host_entry(hosts[0], "h1", "draining")])
        await wait_for_all(harnesses, lambda pools: "h1" not in pools)


@run_on_uvloop
async def test_late_answer_to_a_watch_is_used_while_the_complete_list_is_requested(tmp_path):
    async with AsyncExitStack() as stack:
        service, hosts = await start_service(stack)
        service.capacity = None
        harnesses = await start_fleet(stack, service, hosts, tmp_path, 0.5)
        # Longer than overdue_after, and within the late_answer_time that follows.
        service.change_delay_s = 1.0
        schedule = harnesses[0].server.endpoint_source.schedule
        assert (
            schedule.overdue_after
            < service.change_delay_s
            < schedule.overdue_after + schedule.late_answer_time
        )
        service.full_list_gate = asyncio.Event()  # complete lists are never sent
        service.apply_changes([make_host_entry(hosts[0], "h1", "draining")])
        await wait_for_all(harnesses, lambda pools: "h1" not in pools)


@run_on_uvloop
async def test_restarted_gateway_with_a_known_list_watches_without_requesting_the_complete_list(tmp_path):
    async with AsyncExitStack() as stack:
        service, hosts = await start_service(stack)
        await start_fleet(stack, service, hosts, tmp_path, 0.5)
        calls = [service.calls.get_nowait() for _ in range(service.calls.qsize())]
        assert calls and all("index" in call for call in calls)


def test_polled_watch_leaves_time_for_a_second_call_before_a_missed_change_counts_as_known():
    schedule = WatchSchedule.for_polled_service()
    pacer = WatchPacer(schedule, random.Random(1))
    for _ in range(20):
        assert pacer.next_wait() + schedule.overdue_after + RESPONSE_TIME_S < SILENT_WATCH_LIMIT_S


def test_backoff_doubles_up_to_its_limit_and_differs_between_gateways():
    schedule = WatchSchedule.for_polled_service()
    first, second = (WatchPacer(schedule, random.Random(seed)) for seed in (1, 2))
    backoffs = [(first.next_backoff(), second.next_backoff()) for _ in range(10)]
    assert all(a != b for a, b in backoffs)
    assert all(max(pair) <= schedule.max_backoff for pair in backoffs)
    assert min(backoffs[-1]) > (1 - schedule.jitter) * schedule.max_backoff * 0.99
    first.on_answer()
    assert first.next_backoff() <= schedule.first_backoff

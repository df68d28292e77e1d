"""Endpoint lists from discovery: changes, drains, malformed responses, retries."""

import asyncio
import json

import pytest
from gateway_harness import (
    TEST_TIMEOUT_S,
    VALUE_REPLY,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_host_entry,
    run_on_uvloop,
)

from apigateway import messages
from apigateway.daemon.status_answers import endpoint_list_status
from apigateway.membership import watch_schedule
from apigateway.membership.discovery import MAX_RESPONSE_BYTES, CallResult
from apigateway.membership.listing import listing_from_json
from apigateway.membership.watch_schedule import WatchSchedule

MAX_FLEET_HOSTS = 3200  # by the platform's page


@run_on_uvloop
async def test_draining_host_gets_neither_new_requests_nor_requests_waiting_for_a_connection(tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        for n in range(4):
            await harness.send_command(make_command(b"a%d" % n))
        await harness.discovery.calls.get()
        harness.discovery.apply_changes([make_host_entry(one, "h1", "draining")])
        while (await harness.discovery.calls.get()).get("index") != "2":
            pass  # the next watch shows that the gateway has received the change
        command_count = len(one.commands)
        for n in range(8):
            assert await harness.send_command(make_command(b"b%d" % n)) == VALUE_REPLY
        assert len(one.commands) == command_count


@run_on_uvloop
async def test_list_change_replaces_the_address_of_a_host(tmp_path):
    async with EmulatedHost() as old, EmulatedHost() as new, GatewayHarness(old, path=tmp_path) as harness:
        assert await harness.send_command(make_command(b"a")) == VALUE_REPLY
        await harness.discovery.calls.get()
        harness.discovery.apply_changes([make_host_entry(new, "h1")])
        while (await harness.discovery.calls.get()).get("index") != "2":
            pass
        assert await harness.send_command(make_command(b"b")) == VALUE_REPLY
        assert [command[2] for command in new.commands] == [b"b"]


@pytest.mark.parametrize(
    "raw",
    [
        "{",
        "[]",
        '{"version":3,"full":true,"servers":[{"id":"h9"}]}',
        '{"version":"x","full":false,"servers":[]}',
    ],
)
@run_on_uvloop
async def test_malformed_list_leaves_the_last_list_in_force(raw, tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        await harness.discovery.calls.get()
        await harness.discovery.calls.get()
        harness.discovery.raw_answer = raw
        harness.discovery.apply_changes([])
        assert await harness.send_command(make_command()) == VALUE_REPLY
        while "index" in await harness.discovery.calls.get():
            pass  # the gateway requests the complete list again
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY


@run_on_uvloop
async def test_malformed_entries_do_not_hide_a_drain_in_the_same_list(tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        await harness.discovery.calls.get()
        harness.discovery.apply_changes(
            [
                {"id": "h9"},
                None,
                make_host_entry(two, "h8") | {"weight": "x"},
                make_host_entry(one, "h1", "draining"),
                make_host_entry(two, "h7") | {"addr": "nowhere"},
                make_host_entry(two, "h6", "odd"),
            ]
        )
        while (await harness.discovery.calls.get()).get("index") != "2":
            pass
        assert set(harness.server.upstream.pools) == {"h2"}


@run_on_uvloop
async def test_delta_older_than_the_last_list_is_rejected(tmp_path):
    async with EmulatedHost() as one, GatewayHarness(one, path=tmp_path) as harness:
        while "index" not in await harness.discovery.calls.get():
            pass
        removed_entry = make_host_entry(one, "h1", "removed")
        harness.discovery.raw_answer = json.dumps({"version": 0, "full": False, "servers": [removed_entry]})
        harness.discovery.apply_changes([])
        while "index" in await harness.discovery.calls.get():
            pass  # the gateway requests the complete list again
        assert await harness.send_command(make_command()) == VALUE_REPLY


@run_on_uvloop
async def test_module_receives_a_drain_before_the_outcomes_of_the_attempts_that_it_ends(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        seen, outcome_received = [], asyncio.Event()

        class SendingModule:
            def handle(self, now, event):
                seen.append(type(event))
                if isinstance(event, messages.AttemptOutcome):
                    seen.append(event.result)
                    outcome_received.set()
                    return [messages.Fail(event.request_id)]
                return (
                    [messages.ForwardRequest(event.request_id, "h1")]
                    if isinstance(event, messages.Request)
                    else []
                )

        harness.server.core.module = SendingModule()
        reply = asyncio.create_task(harness.send_command(make_command()))
        pool = harness.server.upstream.pools["h1"]
        while not pool.connecting:  # until the attempt waits for a connection
            await asyncio.sleep(0)
        seen.clear()
        harness.server.endpoint_list.apply(
            listing_from_json(
                {"version": 2, "full": False, "servers": [make_host_entry(host, "h1", "draining")]}
            )
        )
        await outcome_received.wait()
        assert seen == [messages.EndpointList, messages.AttemptOutcome, "connect_failed"]
        assert (await reply).startswith(b"-ERR") and not host.commands


@run_on_uvloop
async def test_discovery_that_does_not_answer_is_called_again_while_the_last_list_stays_in_use(
    tmp_path, monkeypatch
):
    schedule = WatchSchedule(
        is_polled=False,
        wait=0.1,
        overdue_after=0.2,
        late_answer_time=0.0,
        hedge_after=0.1,
        call_timeout=0.2,
        first_backoff=0.05,
        max_backoff=0.1,
        jitter=0.0,
    )
    monkeypatch.setattr(WatchSchedule, "for_agent", lambda drain_grace: schedule)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        while "index" not in await harness.discovery.calls.get():
            pass
        harness.discovery.silent = True
        for _ in range(2):
            while "index" in await harness.discovery.calls.get():
                pass  # after a failed watch the gateway requests the complete list
        assert await harness.send_command(make_command()) == VALUE_REPLY
        harness.discovery.silent = False
        while "index" not in await harness.discovery.calls.get():
            pass  # the gateway watches again
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY


@pytest.mark.parametrize("grace", [0.3, 0.5, 0.7, 1.0, 2.0, 4.0, 60.0])
def test_agent_schedule_detects_a_change_missed_by_a_dead_watch_within_the_drain_grace(grace):
    schedule = WatchSchedule.for_agent(grace)
    assert schedule.wait + schedule.overdue_after + schedule.hedge_after < grace
    # seconds; the list must not be requested in a busy loop
    assert min(schedule.wait, schedule.overdue_after, schedule.hedge_after) >= 0.04
    assert max(schedule.wait, schedule.overdue_after, schedule.hedge_after) <= 2.0


@run_on_uvloop
async def test_complete_list_is_requested_again_while_an_earlier_call_is_not_answered(tmp_path, monkeypatch):
    monkeypatch.setattr(watch_schedule, "AGENT_CALL_TIMEOUT_S", 10.0 * TEST_TIMEOUT_S)
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        while "index" not in await harness.discovery.calls.get():
            pass
        harness.discovery.silent = True
        for _ in range(3):
            while "index" in await harness.discovery.calls.get():
                pass
        harness.discovery.silent = False
        while "index" not in await harness.discovery.calls.get():
            pass  # the gateway has received the complete list and watches again
        # The connections of the unanswered calls are closed.
        assert len(await wait_for_idle_connections(harness.server.endpoint_source)) == 1


async def wait_for_idle_connections(source):
    """Wait until at most one connection is in use, that of the watch; return the connections."""
    acquired = source._session.connector._acquired
    while len(acquired) > 1:
        await asyncio.sleep(0)
    return acquired


@run_on_uvloop
async def test_late_older_complete_list_does_not_bring_a_drained_host_back(tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        while "index" not in await harness.discovery.calls.get():
            pass
        harness.discovery.full_list_gate = release_response = asyncio.Event()
        harness.server.endpoint_source.fetch()
        (fetch_task,) = harness.server.endpoint_source.fetch_tasks
        while "index" in await harness.discovery.calls.get():
            pass  # discovery has received the request; its response predates the change
        harness.discovery.apply_changes([make_host_entry(one, "h1", "draining")])
        while set(harness.server.upstream.pools) != {"h2"}:
            await asyncio.sleep(0)
        release_response.set()
        await fetch_task
        assert set(harness.server.upstream.pools) == {"h2"} and harness.server.endpoint_source.version == 2


@run_on_uvloop
async def test_complete_list_with_a_lower_version_after_a_service_restart_is_accepted(tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        while "index" not in await harness.discovery.calls.get():
            pass
        harness.server.endpoint_source.version = 9
        harness.server.endpoint_source.fetch()
        (fetch_task,) = harness.server.endpoint_source.fetch_tasks
        assert await fetch_task is CallResult.ANSWERED
        assert harness.server.endpoint_source.version == 1


@run_on_uvloop
async def test_watch_that_ends_without_changes_does_not_notify_the_module(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        while "index" not in await harness.discovery.calls.get():
            pass
        events, module = [], harness.server.core.module
        harness.server.core.module = type(
            "RecordingModule",
            (),
            {"handle": lambda _, now, event: (events.append(event), module.handle(now, event))[1]},
        )()
        harness.discovery.apply_changes([])
        await harness.discovery.calls.get()  # the next watch
        assert not events
        harness.discovery.apply_changes([make_host_entry(host, "h1", "draining")])
        while not events:
            await asyncio.sleep(0)


@run_on_uvloop
async def test_lists_from_a_replaced_source_are_ignored(tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        while "index" not in await harness.discovery.calls.get():
            pass
        old_source, received, response = (
            harness.server.endpoint_source,
            [],
            harness.server.loop.create_future(),
        )
        request_started = asyncio.Event()

        async def request(params, timeout):
            request_started.set()
            received.append(await response)
            await asyncio.Event().wait()

        old_source._request = request
        harness.discovery.apply_changes([])
        await request_started.wait()
        response.set_result("a list")  # the call continues in the next iteration of the event loop
        harness.server.switch_endpoint_source(harness.server.create_endpoint_source(harness.server.config))
        while "index" not in await harness.discovery.calls.get():
            pass
        assert not received


@run_on_uvloop
async def test_status_names_the_url_of_discovery(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        url = f"http://127.0.0.1:{harness.discovery.port}/v1/endpoints"
        assert endpoint_list_status(harness.server).as_json()["source"] == f"discovery {url}"


# Guards against a fleet whose list is refused because it is large and indented.
@pytest.mark.parametrize("indent", [None, 4, 8, 16])
@run_on_uvloop
async def test_list_of_the_largest_fleet_is_accepted_however_it_is_indented(indent, tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        while "index" not in await harness.discovery.calls.get():
            pass
        servers = [
            make_host_entry(host, f"s-{number:08x}")
            | {"zone": "north-wing", "kind": "std-4core", "cell": number}
            for number in range(MAX_FLEET_HOSTS)
        ]
        complete = {"version": 2, "full": True, "servers": servers}
        harness.discovery.raw_answer = json.dumps(complete, indent=indent)
        harness.discovery.apply_changes([])
        while len(harness.server.upstream.pools) < MAX_FLEET_HOSTS:
            await asyncio.sleep(0.01)
        assert await harness.send_command(make_command()) == VALUE_REPLY


# Guards against a response without an end that takes all memory.
@run_on_uvloop
async def test_response_longer_than_any_list_is_refused(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        while "index" not in await harness.discovery.calls.get():
            pass
        harness.discovery.raw_answer = " " * (MAX_RESPONSE_BYTES + 1)
        harness.discovery.apply_changes([])
        while "index" in await harness.discovery.calls.get():
            pass  # the gateway requests the complete list again
        assert await harness.send_command(make_command()) == VALUE_REPLY

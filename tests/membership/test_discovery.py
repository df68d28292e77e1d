"""Lists of hosts: changes, drains, malformed answers."""

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
from apigateway.membership.discovery import CallResult
from apigateway.membership.listing import listing_from_json
from apigateway.membership.watch_schedule import WatchSchedule


@run_on_uvloop
async def test_host_when_draining_then_gets_no_new_request_nor_one_that_waits_for_a_connection(tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        for n in range(4):
            await harness.send_command(make_command(b"a%d" % n))
        await harness.discovery.calls.get()
        harness.discovery.change([make_host_entry(one, "h1", "draining")])
        while (await harness.discovery.calls.get()).get("index") != "2":
            pass  # the watch that follows the change: it has been told
        before = len(one.commands)
        for n in range(8):
            assert await harness.send_command(make_command(b"b%d" % n)) == VALUE_REPLY
        assert len(one.commands) == before


@run_on_uvloop
async def test_hosts_follow_the_list(tmp_path):
    async with EmulatedHost() as old, EmulatedHost() as new, GatewayHarness(old, path=tmp_path) as harness:
        assert await harness.send_command(make_command(b"a")) == VALUE_REPLY
        await harness.discovery.calls.get()
        harness.discovery.change([make_host_entry(new, "h1")])
        while (await harness.discovery.calls.get()).get("index") != "2":
            pass
        assert await harness.send_command(make_command(b"b")) == VALUE_REPLY
        assert [c[2] for c in new.commands] == [b"b"]


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
async def test_malformed_lists_leave_the_last_one_in_force(raw, tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        await harness.discovery.calls.get()
        await harness.discovery.calls.get()
        harness.discovery.raw = raw
        harness.discovery.change([])
        assert await harness.send_command(make_command()) == VALUE_REPLY
        while "index" in await harness.discovery.calls.get():
            pass  # it asks for the whole list again
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY


@run_on_uvloop
async def test_entry_when_malformed_then_does_not_hide_the_drains_beside_it(tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        await harness.discovery.calls.get()
        harness.discovery.change(
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
async def test_delta_when_older_than_the_list_then_is_rejected(tmp_path):
    async with EmulatedHost() as one, GatewayHarness(one, path=tmp_path) as harness:
        while "index" not in await harness.discovery.calls.get():
            pass
        gone = make_host_entry(one, "h1", "removed")
        harness.discovery.raw = json.dumps({"version": 0, "full": False, "servers": [gone]})
        harness.discovery.change([])
        while "index" in await harness.discovery.calls.get():
            pass  # it asks for the whole list again
        assert await harness.send_command(make_command()) == VALUE_REPLY


@run_on_uvloop
async def test_module_is_notified_of_a_drain_before_the_attempts_that_it_ends(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        seen, done = [], asyncio.Event()

        class Sender:
            def handle(self, now, event):
                seen.append(type(event))
                if isinstance(event, messages.AttemptOutcome):
                    seen.append(event.result)
                    done.set()
                    return [messages.Fail(event.request_id)]
                return (
                    [messages.ForwardRequest(event.request_id, "h1")]
                    if isinstance(event, messages.Request)
                    else []
                )

        harness.server.core.module = Sender()
        asked = asyncio.create_task(harness.send_command(make_command()))
        pool = harness.server.upstream.pools["h1"]
        while not pool.connecting:  # the attempt waits for its connection
            await asyncio.sleep(0)
        seen.clear()
        harness.server.endpoint_list.apply(
            listing_from_json(
                {"version": 2, "full": False, "servers": [make_host_entry(host, "h1", "draining")]}
            )
        )
        await done.wait()
        assert seen == [messages.EndpointList, messages.AttemptOutcome, "connect_failed"]
        assert (await asked).startswith(b"-ERR") and not host.commands


@run_on_uvloop
async def test_discovery_when_silent_then_is_called_again_while_the_last_list_serves(tmp_path, monkeypatch):
    schedule = WatchSchedule(
        is_polled=False,
        wait=0.1,
        overdue=0.2,
        late_answer=0.0,
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
                pass  # a watch that failed is followed by calls for the whole list
        assert await harness.send_command(make_command()) == VALUE_REPLY
        harness.discovery.silent = False
        while "index" not in await harness.discovery.calls.get():
            pass  # it watches again
        assert await harness.send_command(make_command(b"r2")) == VALUE_REPLY


@pytest.mark.parametrize("grace", [0.3, 0.5, 0.7, 1.0, 2.0, 4.0, 60.0])
def test_change_when_a_dead_watch_missed_it_then_is_known_within_the_drain_grace(grace):
    schedule = WatchSchedule.for_agent(grace)
    assert schedule.wait + schedule.overdue + schedule.hedge_after < grace
    # s; a list is not asked for in a busy loop
    assert min(schedule.wait, schedule.overdue, schedule.hedge_after) >= 0.04
    assert max(schedule.wait, schedule.overdue, schedule.hedge_after) <= 2.0


@run_on_uvloop
async def test_complete_list_when_a_call_is_never_answered_then_is_requested_beside_it(tmp_path, monkeypatch):
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
            pass  # it was told the whole list, and watches again
        assert (
            len(await quiet(harness.server.endpoint_source)) == 1
        )  # those that were never answered are not kept


async def quiet(source):
    """The connections that its calls hold, once it holds no more than its watch does."""
    held = source._session.connector._acquired
    while len(held) > 1:
        await asyncio.sleep(0)
    return held


@run_on_uvloop
async def test_complete_list_when_older_than_the_last_then_brings_nothing_back(tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        while "index" not in await harness.discovery.calls.get():
            pass
        harness.discovery.held = held = asyncio.Event()
        harness.server.endpoint_source.fetch()
        (fetching,) = harness.server.endpoint_source.fetching
        while "index" in await harness.discovery.calls.get():
            pass  # it has been asked, and its answer is of before the change
        harness.discovery.change([make_host_entry(one, "h1", "draining")])
        while set(harness.server.upstream.pools) != {"h2"}:
            await asyncio.sleep(0)
        held.set()
        await fetching
        assert set(harness.server.upstream.pools) == {"h2"} and harness.server.endpoint_source.version == 2


@run_on_uvloop
async def test_complete_list_when_the_service_restarted_with_lower_versions_then_is_accepted(tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        while "index" not in await harness.discovery.calls.get():
            pass
        harness.server.endpoint_source.version = 9
        harness.server.endpoint_source.fetch()
        (fetching,) = harness.server.endpoint_source.fetching
        assert await fetching is CallResult.ANSWERED
        assert harness.server.endpoint_source.version == 1


@run_on_uvloop
async def test_watch_when_it_ends_without_changes_then_the_module_is_not_notified(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        while "index" not in await harness.discovery.calls.get():
            pass
        seen, module = [], harness.server.core.module
        harness.server.core.module = type(
            "Watcher",
            (),
            {"handle": lambda _, now, event: (seen.append(event), module.handle(now, event))[1]},
        )()
        harness.discovery.change([])
        await harness.discovery.calls.get()  # the watch after it
        assert not seen
        harness.discovery.change([make_host_entry(host, "h1", "draining")])
        while not seen:
            await asyncio.sleep(0)


@run_on_uvloop
async def test_old_address_when_replaced_then_its_lists_are_ignored(tmp_path):
    async with (
        EmulatedHost() as one,
        EmulatedHost() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        while "index" not in await harness.discovery.calls.get():
            pass
        old, heard, answer = harness.server.endpoint_source, [], harness.server.loop.create_future()
        asked = asyncio.Event()

        async def request(params, timeout):
            asked.set()
            heard.append(await answer)
            await asyncio.Event().wait()

        old._request = request
        harness.discovery.change([])
        await asked.wait()
        answer.set_result("a list")  # it is here, and the call goes on in the next turn of the loop
        harness.server.switch_endpoint_source(harness.server.create_endpoint_source(harness.server.config))
        while "index" not in await harness.discovery.calls.get():
            pass
        assert not heard


@run_on_uvloop
async def test_status_when_discovery_is_the_source_then_names_its_url(tmp_path):
    async with EmulatedHost() as host, GatewayHarness(host, path=tmp_path) as harness:
        url = f"http://127.0.0.1:{harness.discovery.port}/v1/endpoints"
        assert endpoint_list_status(harness.server).as_json()["source"] == f"discovery {url}"

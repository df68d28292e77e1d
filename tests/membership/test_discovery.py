"""Lists of hosts: changes, drains, malformed answers."""

import asyncio
import json

import pytest
from netkit import PATIENCE, SERVED, EmulatedHost, Node, command, entry, on_loop

from apigateway import messages
from apigateway.daemon.status_answers import endpoint_list_status
from apigateway.membership import watch_schedule
from apigateway.membership.discovery import CallResult
from apigateway.membership.listing import listing_from_json
from apigateway.membership.watch_schedule import WatchSchedule


@on_loop
async def test_host_when_draining_then_gets_no_new_request_nor_one_that_waits_for_a_connection(tmp_path):
    async with EmulatedHost() as one, EmulatedHost() as two, Node(one, two, path=tmp_path) as node:
        for n in range(4):
            await node.ask(command(b"a%d" % n))
        await node.discovery.calls.get()
        node.discovery.change([entry(one, "h1", "draining")])
        while (await node.discovery.calls.get()).get("index") != "2":
            pass  # the watch that follows the change: it has been told
        before = len(one.commands)
        for n in range(8):
            assert await node.ask(command(b"b%d" % n)) == SERVED
        assert len(one.commands) == before


@on_loop
async def test_hosts_follow_the_list(tmp_path):
    async with EmulatedHost() as old, EmulatedHost() as new, Node(old, path=tmp_path) as node:
        assert await node.ask(command(b"a")) == SERVED
        await node.discovery.calls.get()
        node.discovery.change([entry(new, "h1")])
        while (await node.discovery.calls.get()).get("index") != "2":
            pass
        assert await node.ask(command(b"b")) == SERVED
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
@on_loop
async def test_malformed_lists_leave_the_last_one_in_force(raw, tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        await node.discovery.calls.get()
        await node.discovery.calls.get()
        node.discovery.raw = raw
        node.discovery.change([])
        assert await node.ask(command()) == SERVED
        while "index" in await node.discovery.calls.get():
            pass  # it asks for the whole list again
        assert await node.ask(command(b"r2")) == SERVED


@on_loop
async def test_entry_when_malformed_then_does_not_hide_the_drains_beside_it(tmp_path):
    async with EmulatedHost() as one, EmulatedHost() as two, Node(one, two, path=tmp_path) as node:
        await node.discovery.calls.get()
        node.discovery.change(
            [
                {"id": "h9"},
                None,
                entry(two, "h8") | {"weight": "x"},
                entry(one, "h1", "draining"),
                entry(two, "h7") | {"addr": "nowhere"},
                entry(two, "h6", "odd"),
            ]
        )
        while (await node.discovery.calls.get()).get("index") != "2":
            pass
        assert set(node.node.upstream.pools) == {"h2"}


@on_loop
async def test_delta_when_older_than_the_list_then_is_rejected(tmp_path):
    async with EmulatedHost() as one, Node(one, path=tmp_path) as node:
        while "index" not in await node.discovery.calls.get():
            pass
        gone = entry(one, "h1", "removed")
        node.discovery.raw = json.dumps({"version": 0, "full": False, "servers": [gone]})
        node.discovery.change([])
        while "index" in await node.discovery.calls.get():
            pass  # it asks for the whole list again
        assert await node.ask(command()) == SERVED


@on_loop
async def test_module_is_notified_of_a_drain_before_the_attempts_that_it_ends(tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
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

        node.node.core.module = Sender()
        asked = asyncio.create_task(node.ask(command()))
        pool = node.node.upstream.pools["h1"]
        while not pool.connecting:  # the attempt waits for its connection
            await asyncio.sleep(0)
        seen.clear()
        node.node.endpoint_list.apply(
            listing_from_json({"version": 2, "full": False, "servers": [entry(host, "h1", "draining")]})
        )
        await done.wait()
        assert seen == [messages.EndpointList, messages.AttemptOutcome, "connect_failed"]
        assert (await asked).startswith(b"-ERR") and not host.commands


@on_loop
async def test_discovery_when_silent_then_is_called_again_while_the_last_list_serves(tmp_path, monkeypatch):
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
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        while "index" not in await node.discovery.calls.get():
            pass
        node.discovery.silent = True
        for _ in range(2):
            while "index" in await node.discovery.calls.get():
                pass  # a watch that failed is followed by calls for the whole list
        assert await node.ask(command()) == SERVED
        node.discovery.silent = False
        while "index" not in await node.discovery.calls.get():
            pass  # it watches again
        assert await node.ask(command(b"r2")) == SERVED


@pytest.mark.parametrize("grace", [0.3, 0.5, 0.7, 1.0, 2.0, 4.0, 60.0])
def test_change_when_a_dead_watch_missed_it_then_is_known_within_the_drain_grace(grace):
    schedule = WatchSchedule.for_agent(grace)
    assert schedule.wait + schedule.overdue_after + schedule.hedge_after < grace
    # s; a list is not asked for in a busy loop
    assert min(schedule.wait, schedule.overdue_after, schedule.hedge_after) >= 0.04
    assert max(schedule.wait, schedule.overdue_after, schedule.hedge_after) <= 2.0


@on_loop
async def test_complete_list_when_a_call_is_never_answered_then_is_requested_beside_it(tmp_path, monkeypatch):
    monkeypatch.setattr(watch_schedule, "AGENT_CALL_TIMEOUT_S", 10.0 * PATIENCE)
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        while "index" not in await node.discovery.calls.get():
            pass
        node.discovery.silent = True
        for _ in range(3):
            while "index" in await node.discovery.calls.get():
                pass
        node.discovery.silent = False
        while "index" not in await node.discovery.calls.get():
            pass  # it was told the whole list, and watches again
        assert len(await quiet(node.node.endpoint_source)) == 1  # those that were never answered are not kept


async def quiet(source):
    """The connections that its calls hold, once it holds no more than its watch does."""
    held = source._session.connector._acquired
    while len(held) > 1:
        await asyncio.sleep(0)
    return held


@on_loop
async def test_complete_list_when_older_than_the_last_then_brings_nothing_back(tmp_path):
    async with EmulatedHost() as one, EmulatedHost() as two, Node(one, two, path=tmp_path) as node:
        while "index" not in await node.discovery.calls.get():
            pass
        node.discovery.held = held = asyncio.Event()
        node.node.endpoint_source.fetch()
        (fetching,) = node.node.endpoint_source.fetch_tasks
        while "index" in await node.discovery.calls.get():
            pass  # it has been asked, and its answer is of before the change
        node.discovery.change([entry(one, "h1", "draining")])
        while set(node.node.upstream.pools) != {"h2"}:
            await asyncio.sleep(0)
        held.set()
        await fetching
        assert set(node.node.upstream.pools) == {"h2"} and node.node.endpoint_source.version == 2


@on_loop
async def test_complete_list_when_the_service_restarted_with_lower_versions_then_is_accepted(tmp_path):
    async with EmulatedHost() as one, EmulatedHost() as two, Node(one, two, path=tmp_path) as node:
        while "index" not in await node.discovery.calls.get():
            pass
        node.node.endpoint_source.version = 9
        node.node.endpoint_source.fetch()
        (fetching,) = node.node.endpoint_source.fetch_tasks
        assert await fetching is CallResult.ANSWERED
        assert node.node.endpoint_source.version == 1


@on_loop
async def test_watch_when_it_ends_without_changes_then_the_module_is_not_notified(tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        while "index" not in await node.discovery.calls.get():
            pass
        seen, module = [], node.node.core.module
        node.node.core.module = type(
            "Watcher",
            (),
            {"handle": lambda _, now, event: (seen.append(event), module.handle(now, event))[1]},
        )()
        node.discovery.change([])
        await node.discovery.calls.get()  # the watch after it
        assert not seen
        node.discovery.change([entry(host, "h1", "draining")])
        while not seen:
            await asyncio.sleep(0)


@on_loop
async def test_old_address_when_replaced_then_its_lists_are_ignored(tmp_path):
    async with EmulatedHost() as one, EmulatedHost() as two, Node(one, two, path=tmp_path) as node:
        while "index" not in await node.discovery.calls.get():
            pass
        old, heard, answer = node.node.endpoint_source, [], node.node.loop.create_future()
        asked = asyncio.Event()

        async def request(params, timeout):
            asked.set()
            heard.append(await answer)
            await asyncio.Event().wait()

        old._request = request
        node.discovery.change([])
        await asked.wait()
        answer.set_result("a list")  # it is here, and the call goes on in the next turn of the loop
        node.node.switch_endpoint_source(node.node.create_endpoint_source(node.node.config))
        while "index" not in await node.discovery.calls.get():
            pass
        assert not heard


@on_loop
async def test_status_when_discovery_is_the_source_then_names_its_url(tmp_path):
    async with EmulatedHost() as host, Node(host, path=tmp_path) as node:
        url = f"http://127.0.0.1:{node.discovery.port}/v1/endpoints"
        assert endpoint_list_status(node.node).as_json()["source"] == f"discovery {url}"

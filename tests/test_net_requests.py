"""Requests through a real gateway on loopback: answers, bad input, attempts and their outcomes."""

import asyncio
import copy
import logging
import time

import pytest
from netkit import (
    SERVED,
    SETTINGS,
    VALUE,
    Node,
    StubHost,
    command,
    entry,
    on_loop,
    read_reply,
    write,
)

from calicomast import interface as api
from calicomast.net.hosts import Attempt
from calicomast.net.listing import read_list


def terms(**kw):
    fields = dict(c="read", t="p", d="3000", units="1", spread="1", first="0") | kw
    return ",".join(f"{k}={v}" for k, v in fields.items() if v is not None).encode()


@on_loop
async def test_serves_the_value_as_the_host_gave_it(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        host.answer = b"*3\r\n$6\r\na\r\nb\x00c\r\n:42\r\n$18\r\nactive=1,waiting=0\r\n"
        assert await node.ask(command()) == b"$6\r\na\r\nb\x00c\r\n"
        assert host.commands[0][:3] == [b"API.READ", b"00000000b4d65521", b"r1"]
        fields = dict(f.split(b"=") for f in host.commands[0][3].split(b","))
        assert 0 < int(fields.pop(b"d")) < 3000  # as long as the gateway waits, less than the client does
        assert fields == {b"c": b"read", b"t": b"p", b"units": b"1", b"spread": b"1", b"first": b"0"}


@on_loop
async def test_a_report_that_says_nothing_sound_is_ignored(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        for n, report in enumerate((b"$-1\r\n", b"$3\r\n???\r\n", b"$10\r\nactive=nan\r\n",
                                    b"$9\r\nactive=-1\r\n",
                                    b":7\r\n", b"$8\r\nactive=x\r\n")):
            host.answer = b"*3\r\n$1\r\nv\r\n$-1\r\n" + report
            assert await node.ask(command(b"r%d" % n)) == b"$1\r\nv\r\n"
        assert not node.node.module.fleet.reports


@pytest.mark.parametrize("bad", [
    b"*1\r\n$7\r\nUNKNOWN\r\n", b"*0\r\n", b"*-1\r\n", b":5\r\n", b"*2\r\n$8\r\nAPI.READ\r\n*0\r\n",
    command(terms=terms(d=None)), command(terms=terms(d="soon")), command(terms=terms(d="-1")),
    command(terms=terms(c="none")), command(terms=terms(t="none")), command(terms=terms(units="nan")),
    command(terms=terms(spread="0")), command(terms=terms(c="note")), command(terms=b"\xff\xfe"),
    command(terms=terms(c=None)), command(customer=b"xyz"), command(id=b""), command(body=b"BODY"),
    command(terms=terms(d="9" * 400)), command(terms=terms(d="9" * 12)), command(terms=terms(units="1e999")),
    command(terms=terms(c="write"), verb=b"API.WRITE", body=b"x"),  # keyed, without its key
    command(terms=terms(c="note"), verb=b"API.WRITE", body=b"x" * 65537),
])
@on_loop
async def test_bad_commands_are_answered_and_the_connection_goes_on(bad, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad + b"*1\r\n$4\r\nPING\r\n")
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b"+PONG\r\n"
        assert not host.commands


@pytest.mark.parametrize("bad", [b"GET / HTTP/1.1\r\n\r\n", b"*1\r\n$70000\r\n" + b"x" * 69900, b"*x\r\n",
                                 b"*99999999999\r\n", b"*4294967295\r\n"])
@on_loop
async def test_lost_framing_ends_only_its_own_connection(bad, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad)
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b""
        assert await node.ask(command()) == SERVED


@pytest.mark.parametrize("odd", [b"+OK\r\n", b"$2\r\nOK\r\n", b"*0\r\n", b"*-1\r\n", b"*1\r\n$-1\r\n",
                                 b":1\r\n", b"*1\r\n:1\r\n", b"nonsense\r\n", b"$-1\r\n"])
@on_loop
async def test_what_is_no_value_of_a_host_is_not_served(odd, tmp_path):
    async with StubHost(odd) as host, Node(host, path=tmp_path) as node:
        assert (await node.ask(write(cls=b"note"))).startswith(b"-ERR")
        host.answer = VALUE
        assert await node.ask(command(b"r2")) == SERVED


@on_loop
async def test_a_probe_brings_the_load_report(tmp_path):
    async with StubHost(b"$8\r\nactive=7\r\n") as host, Node(host, path=tmp_path) as node:
        seen, done = [], asyncio.Event()

        class Watcher:
            def handle(self, now, event):
                if isinstance(event, api.Probed):
                    seen.append(event)
                    done.set()
                return []

        node.node.module = Watcher()
        node.node.probe(api.Probe("h1"))
        await done.wait()
        assert host.commands == [[b"INFO", b"load"]]
        assert seen[0].result == "ok" and seen[0].report == {"inflight": 7.0}


@on_loop
async def test_answers_come_in_the_order_of_the_commands(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"slow"))
        await host.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        host.writers[0].write(VALUE)
        assert await read_reply(reader) == SERVED
        assert await read_reply(reader) == b"+PONG\r\n"


@on_loop
async def test_a_silent_host_is_answered_for_before_the_client_gives_up(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        began = time.monotonic()
        assert (await node.ask(write(cls=b"note", d=400))).startswith(b"-ERR")  # it may have run: no refusal
        assert time.monotonic() - began < 0.4
        assert len(host.commands) == 1


@on_loop
async def test_a_late_answer_reaches_nobody(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        assert (await node.ask(write(cls=b"note", d=300))).startswith(b"-ERR")
        assert await host.arrived.get() and await host.arrived.get() is None  # the connection went too
        host.writers[0].write(b"*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n")
        host.answer = VALUE
        assert await node.ask(command(b"r2")) == SERVED


@on_loop
async def test_a_host_that_breaks_off_may_have_run_an_unsafe_request(tmp_path):
    async with StubHost(b"") as one, StubHost(b"") as two, Node(one, two, path=tmp_path) as node:
        assert (await node.ask(write(cls=b"note"))).startswith(b"-ERR")
        assert len(one.commands) + len(two.commands) == 1


@on_loop
async def test_a_host_that_turns_away_never_ran_it(tmp_path):
    turns = iter([b"-BUSY active=3\r\n", VALUE])
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        one.answer = two.answer = lambda: next(turns)
        assert await node.ask(write(cls=b"note")) == SERVED
        assert [c[2] for c in one.commands + two.commands] == [b"r1", b"r1"]


@on_loop
async def test_a_refused_connection_never_ran_it(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        host.server.close()
        await host.server.wait_closed()
        assert (await node.ask(write(cls=b"note"))).startswith(b"-BUSY")  # harmless to try again


@on_loop
async def test_a_client_that_left_has_its_attempt_called_off(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        _, writer = await node.connect()
        writer.write(command())
        await host.arrived.get()
        writer.close()
        assert await host.arrived.get() is None  # the connection to the host ended
        assert not node.node.works


@on_loop
async def test_a_refusal_tells_when_to_come_back_at_once(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        small, replies = terms(t="small"), []
        began = time.monotonic()
        for n in range(4):
            replies.append(await node.ask(command(b"r%d" % n, terms=small)))
        assert replies[0] == SERVED and replies[-1].startswith(b"-BUSY ")
        assert 0 < int(replies[-1].split()[1]) <= 2000
        assert time.monotonic() - began < 3.0


@on_loop
async def test_a_late_answer_of_the_counter_keeps_its_place(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        counter, results = node.node.counter, asyncio.Queue()

        def add(amount):
            counter.add(8, amount, 4, lambda name, *told: results.put_nowait(told[:2]))

        while counter.lines[0].transport is None:
            await asyncio.sleep(0)
        node.counter.silent = True
        add(1)
        assert (await results.get())[0] == "timeout"
        node.counter.silent = False
        add(2)
        node.counter.answer_all()  # the first answer comes now, before or behind the second's request
        assert await results.get() == ("ok", 3.0)
        assert [words[1:] for words in node.counter.calls] == [[b"8", b"1", b"4000"], [b"8", b"2", b"4000"]]


@on_loop
async def test_an_exception_in_the_module_fails_that_request_only(tmp_path, caplog):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        module, real = node.node.module, node.node.module.handle

        class Broken:
            def handle(self, now, event):
                if getattr(event, "id", "") == "bad":
                    raise RuntimeError("broken")
                return real(now, event)

        node.node.module = Broken()
        with caplog.at_level(logging.CRITICAL):
            assert await node.ask(command(b"bad")) == b"-ERR failed\r\n"
            assert await node.ask(command(b"good")) == SERVED
        assert module.jobs == {} and not node.node.works


@on_loop
async def test_a_module_that_says_nothing_does_not_lose_the_request(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        class Mute:
            def handle(self, now, event):
                return []

        node.node.module = Mute()
        began = time.monotonic()
        assert await node.ask(command(terms=terms(d="300"))) == b"-ERR failed\r\n"
        assert time.monotonic() - began < 0.3


@on_loop
async def test_a_timer_never_reaches_the_module_early(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        class Clocked:
            def __init__(self):
                self.early, self.seen, self.done = [], 0, asyncio.Event()

            def handle(self, now, event):
                self.early += [now - due[event.label]] if now < due[event.label] else []
                self.seen += 1
                if self.seen == len(due):
                    self.done.set()
                return []

        node.node.module = clocked = Clocked()
        due = {}
        for n in range(300):
            delay = 0.0101 + n * 0.00037
            due[n] = node.node.clock() + delay
            node.node.set_timer(api.SetTimer(delay, n))
        await clocked.done.wait()
        assert clocked.early == []


@on_loop
async def test_a_drained_host_gets_nothing_new_nor_what_waits_for_a_connection(tmp_path):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        for n in range(4):
            await node.ask(command(b"a%d" % n))
        await node.discovery.calls.get()
        node.discovery.changes.put_nowait([entry(one, "h1", "draining")])
        while (await node.discovery.calls.get()).get("index") != "2":
            pass  # the watch that follows the change: it has been told
        before = len(one.commands)
        for n in range(8):
            assert await node.ask(command(b"b%d" % n)) == SERVED
        assert len(one.commands) == before


@on_loop
async def test_hosts_move_with_the_list(tmp_path):
    async with StubHost() as old, StubHost() as new, Node(old, path=tmp_path) as node:
        assert await node.ask(command(b"a")) == SERVED
        await node.discovery.calls.get()
        node.discovery.changes.put_nowait([entry(new, "h1")])
        while (await node.discovery.calls.get()).get("index") != "2":
            pass
        assert await node.ask(command(b"b")) == SERVED
        assert [c[2] for c in new.commands] == [b"b"]


@pytest.mark.parametrize("raw", ["{", "[]", '{"version":3,"full":true,"servers":[{"id":"h9"}]}',
                                 '{"version":"x","full":false,"servers":[]}'])
@on_loop
async def test_malformed_lists_leave_the_last_one_in_force(raw, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        await node.discovery.calls.get()
        await node.discovery.calls.get()
        node.discovery.raw = raw
        node.discovery.changes.put_nowait([])
        assert await node.ask(command()) == SERVED
        while "index" in await node.discovery.calls.get():
            pass  # it asks for the whole list again
        assert await node.ask(command(b"r2")) == SERVED


@on_loop
async def test_one_connection_is_used_again_and_closed_before_the_host_would(tmp_path):
    settings = copy.deepcopy(SETTINGS)
    settings["limits"]["idle_close"] = 1_000_000_000
    async with StubHost() as host, Node(host, path=tmp_path, settings=settings) as node:
        for n in range(3):
            assert await node.ask(command(b"r%d" % n)) == SERVED
        assert len(host.writers) == 1
        began = time.monotonic()
        while await host.arrived.get() is not None:
            pass
        assert time.monotonic() - began < 1.0


@on_loop
async def test_the_cap_on_connections_holds(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        node.node.hosts.most = 2
        node.node.module.fleet.limit = 100.0
        asked = [asyncio.create_task(node.ask(command(b"r%d" % n, terms=terms(d="500")))) for n in range(6)]
        await asyncio.gather(*asked)
        assert len(host.writers) <= 2 * 3 and node.node.hosts.open <= 2


@on_loop
async def test_the_end_serves_what_was_taken_and_closes(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        _, idle_writer = idle = await node.connect()
        reader, writer = await node.connect()
        writer.write(command(b"before"))
        await host.arrived.get()
        ending = asyncio.create_task(node.node.stop())
        await asyncio.sleep(0)
        late_reader, late_writer = await node.connect()  # connections still come for a while
        late_writer.write(command(b"after"))
        while (got := await host.arrived.get()) is None or got[2] != b"after":
            pass
        assert await read_reply(idle[0]) == b""  # idle ones are closed, busy ones not yet
        assert not ending.done()
        for out in host.writers:
            out.write(VALUE)
        assert await read_reply(reader) == SERVED and await read_reply(late_reader) == SERVED
        assert await read_reply(reader) == b"" and await read_reply(late_reader) == b""
        await ending
        with pytest.raises(OSError):
            await node.connect()




@on_loop
async def test_the_module_hears_of_a_drain_before_what_ends_by_it(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        seen, done = [], asyncio.Event()

        class Sender:
            def handle(self, now, event):
                seen.append(type(event))
                if isinstance(event, api.Outcome):
                    seen.append(event.result)
                    done.set()
                    return [api.Fail(event.id)]
                return [api.Send(event.id, "h1")] if isinstance(event, api.Request) else []

        node.node.module = Sender()
        asked = asyncio.create_task(node.ask(command()))
        pool = node.node.hosts.pools["h1"]
        while not pool.coming:  # the attempt waits for its connection
            await asyncio.sleep(0)
        seen.clear()
        node.node.listed(read_list({"version": 2, "full": False, "servers": [entry(host, "h1", "draining")]}))
        await done.wait()
        assert seen == [api.HostList, api.Outcome, "connect_failed"]
        assert (await asked).startswith(b"-ERR") and not host.commands


@on_loop
async def test_what_comes_on_a_connection_that_is_to_close_is_served(tmp_path):
    async with StubHost(None) as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"first"))
        await host.arrived.get()
        node.node.clients.finish()
        writer.write(command(b"second"))
        while (await host.arrived.get())[2] != b"second":
            pass
        for out in host.writers:
            out.write(VALUE)
        assert [await read_reply(reader) for _ in range(3)] == [SERVED, SERVED, b""]


@on_loop
async def test_an_attempt_called_off_has_left_the_host_before_the_next_goes_out(tmp_path):
    """Where second copies are not allowed, one attempt's connection must end before the next is written."""
    async with StubHost(None) as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        class Mover:
            def handle(self, now, event):
                if isinstance(event, api.Request):
                    return [api.Send(event.id, "h1")]
                return [api.Send(event.id, "h2")] if getattr(event, "result", "") == "cancelled" else []

        node.node.module = Mover()
        asked = asyncio.create_task(node.ask(command()))
        await one.arrived.get()
        (attempt,) = node.node.works["r1"].live.values()
        ended = attempt.conn.sock
        node.node.cancel(api.Cancel("r1", 0))
        with pytest.raises(OSError):  # the socket was shut at once, not in a later turn of the loop
            ended.send(b"x")
        assert await one.arrived.get() is None
        assert await asked == SERVED and len(two.commands) == 1


@on_loop
async def test_a_second_copy_is_not_sent_where_it_is_not_allowed(tmp_path):
    async with StubHost(None) as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        class Doubler:
            results = []

            def handle(self, now, event):
                if isinstance(event, api.Request):
                    return [api.Send(event.id, "h1"), api.Send(event.id, "h2")]
                if isinstance(event, api.Outcome):
                    self.results.append(event.result)
                    return [api.Fail(event.id)]
                return []

        node.node.module = Doubler()
        assert (await node.ask(command())).startswith(b"-ERR")
        assert Doubler.results[0] == "moot" and not two.commands


@on_loop
async def test_the_counter_is_connected_again_and_unwritten_calls_are_told(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        counter, results = node.node.counter, asyncio.Queue()

        def add():
            counter.add(8, 1, 4, lambda name, result, total, elapsed: results.put_nowait(result))

        while counter.lines[0].transport is None:
            await asyncio.sleep(0)
        node.counter.silent = True
        add()
        await node.counter.arrived.get()
        for writer in node.counter.writers:
            writer.transport.abort()
        assert await results.get() == "timeout"  # it was written, so it may have been added
        add()
        assert await results.get() == "connect_failed"
        node.counter.silent = False
        while counter.lines[0].transport is None:
            await asyncio.sleep(0.01)
        add()
        assert await results.get() == "ok"


@pytest.mark.parametrize("odd", [b"ok\r\n", b"ok many\r\n", b"pong\r\n", b"ok inf\r\n", b"x" * 5000,
                                 b"what\r\n"])
@on_loop
async def test_odd_answers_of_the_counter_cost_only_the_connection(odd, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        counter, results = node.node.counter, asyncio.Queue()
        while counter.lines[0].transport is None:
            await asyncio.sleep(0)
        old, node.counter.silent = counter.lines[0].transport, True
        counter.add(8, 1, 4, lambda name, result, total, elapsed: results.put_nowait(result))
        await node.counter.arrived.get()
        for writer in node.counter.writers:
            writer.write(odd)
        assert await results.get() == "timeout"
        while counter.lines[0].transport in (None, old):
            await asyncio.sleep(0.01)
        assert await node.ask(command()) == SERVED


@on_loop
async def test_connects_called_off_before_they_began_take_no_room(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        hosts = node.node.hosts
        hosts.most = 2
        for _ in range(5):
            attempt = Attempt("h1", command(), lambda attempt: None)
            hosts.send(attempt, 3.0)
            hosts.give_up(attempt, "cancelled")
            assert attempt.result == "connect_failed"
        assert await node.ask(command()) == SERVED
        assert len(host.commands) == 1

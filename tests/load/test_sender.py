"""Open loop against targets that stall, refuse, lie and die: every request that was due is recorded, with the
latency that the schedule says. Lower bounds only: a slow machine makes them longer, never shorter."""

import asyncio
import errno
import json
import signal
import subprocess
import sys
import time

import pytest
from gateway_harness import EmulatedHost, run_on_uvloop
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from local_deployment import GATEWAY_COMMAND, ROOT, LocalDeployment, free_port

from apigateway.emulators.script import Step
from apigateway.tools.load.recorder import LoadRecord, Outcome, count_above
from apigateway.tools.load.report import build_report, format_report, percentiles_ms, void_reason
from apigateway.tools.load.scenario import ClassSection
from apigateway.tools.load.schedule import US_PER_S, ScheduledRequest
from apigateway.tools.load.sender import Sender

VALUE = b"$5\r\nvalue\r\n"


def due(at, n=0, cls="read"):
    return ScheduledRequest(int(at * US_PER_S), f"r{n}", f"{n % 5:016x}", "p", cls, 1.0, 0, 0, 1)


def evenly(rate, seconds, cls="read"):
    return [due(n / rate, n, cls) for n in range(int(rate * seconds))]


async def sent(dues, port, wait=5.0, effect="safe", before=None):
    sender = Sender(iter(dues), {"read": ClassSection(effect=effect, wait=wait)}, [("127.0.0.1", port)])
    if before is not None:
        before(sender)
    record = await sender.run()
    assert sum(record.counts().values()) == record.lateness.get_total_count()
    return record


class Freezing(asyncio.Protocol):
    """Answers each command at once; while it is frozen it reads nothing."""

    frozen, lines = False, set()

    def connection_made(self, transport):
        self.transport = transport
        self.lines.add(self)

    def data_received(self, data):
        self.transport.write(VALUE * data.count(b"API."))

    def connection_lost(self, exc):
        self.lines.discard(self)

    @classmethod
    def freeze(cls, on):
        for line in cls.lines:
            line.transport.pause_reading() if on else line.transport.resume_reading()


@run_on_uvloop
async def test_freeze_of_the_target_is_recorded_in_full():
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Freezing, "127.0.0.1", 0)
    spans, dues = [], evenly(200, 2.5)

    def freeze(sender):
        async def go():
            while not (Freezing.lines and time.monotonic() > sender.started_at + 0.5):
                await asyncio.sleep(0.01)
            Freezing.freeze(True)
            spans.append(time.monotonic() - sender.started_at)
            await asyncio.sleep(1.0)
            spans.append(time.monotonic() - sender.started_at)
            Freezing.freeze(False)

        sender.task = loop.create_task(go())

    record = await sent(dues, server.sockets[0].getsockname()[1], before=freeze)
    begin, end = spans
    latencies = record.latency_of()
    # New connections are taken on, so what is due in it waits where a kept one is at hand, as it does for
    # clients; each that was out at its begin, and each behind it, shows the whole rest of the freeze.
    assert (
        count_above(latencies, (end - begin) * 0.95 * US_PER_S) >= 1
        and latencies.get_max_value() >= (end - begin) * 0.95 * US_PER_S
    )
    assert latencies.get_total_count() == len(dues) and record.counts()[Outcome.SERVED] == len(dues)
    server.close()


@run_on_uvloop
async def test_gateway_when_stopped_then_every_request_due_shows_the_stop(tmp_path):
    """SIGSTOP of a real one, for a second: what is due in it waits for the rest of it; none is left out."""
    async with LocalDeployment(tmp_path) as site:
        program = await site.start_gateway()
        dues, spans = evenly(100, 2.5), []

        def stop(sender):
            async def go():
                while time.monotonic() < sender.started_at + 0.7:
                    await asyncio.sleep(0.01)
                program.send_signal(signal.SIGSTOP)
                spans.append(time.monotonic() - sender.started_at)
                await asyncio.sleep(1.0)
                spans.append(time.monotonic() - sender.started_at)
                program.send_signal(signal.SIGCONT)

            sender.task = asyncio.get_running_loop().create_task(go())

        record = await sent(dues, site.port, before=stop)
        begin, end = spans
        latencies, total = record.latency_of(), len(dues)
        assert latencies.get_total_count() == total
        for least in (0.2, 0.5, 0.8):
            in_it = sum(begin <= one.due_us / US_PER_S <= end - least for one in dues)
            assert count_above(latencies, least * 0.99 * US_PER_S) >= in_it > 0, least
        # A client that waited with it would have seen one slow answer.
        assert percentiles_ms(latencies)["p90"] >= 200


@pytest.mark.parametrize(
    "step, outcome",
    [
        (Step("silent"), Outcome.LOST),
        (Step("reset"), Outcome.LOST),
        (Step("half"), Outcome.LOST),
        (Step("busy"), Outcome.REFUSED),
        (Step("error"), Outcome.FAILED),
    ],
)
@run_on_uvloop
async def test_answer_of_each_kind_has_its_outcome(step, outcome):
    async with EmulatedHost() as host:
        host.script.set_steps(step)
        record = await sent(evenly(100, 0.3), host.port, wait=0.4)
        assert record.counts() == dict.fromkeys(Outcome, 0) | {outcome: 30}
        latencies = record.latency_of(outcome)
        if step.kind == "silent":  # counted for as long as its client would have waited
            assert latencies.get_min_value() >= 0.99 * 0.4 * US_PER_S  # to the resolution of timer and record


@run_on_uvloop
async def test_target_when_unreachable_then_requests_are_unsent():
    record = await sent(evenly(100, 0.3), free_port())
    assert record.counts()[Outcome.UNSENT] == 30 and not void_reason(record, 10_000, 1.0)


@run_on_uvloop
async def test_surplus_answers_are_counted_and_serve_no_request():
    class Twice(asyncio.Protocol):
        def connection_made(self, transport):
            self.transport = transport

        def data_received(self, data):
            self.transport.write(VALUE * 2)

    server = await asyncio.get_running_loop().create_server(Twice, "127.0.0.1", 0)
    record = await sent(evenly(50, 0.4), server.sockets[0].getsockname()[1])
    assert record.surplus_answers > 0 and record.counts()[Outcome.SERVED] == 20
    server.close()


@run_on_uvloop
async def test_target_when_killed_then_loses_only_what_was_in_flight():
    host = EmulatedHost()
    await host.open()
    host.script.set_steps(Step("stall", delay_s=0.1))
    killed = []

    def kill(sender):
        async def go():
            for _ in range(20):
                await host.arrivals.get()
            await host.kill()
            killed.append(True)
            await host.open()

        sender.task = asyncio.get_running_loop().create_task(go())

    record = await sent(evenly(100, 1.0), host.port, wait=2.0, before=kill)
    counts = record.counts()
    assert killed and sum(counts.values()) == 100 and counts[Outcome.SERVED] > 0
    assert 0 < counts[Outcome.LOST] + counts[Outcome.UNSENT] < 60
    await host.__aexit__()


@run_on_uvloop
async def test_run_when_the_generator_was_starved_then_is_void():
    async with EmulatedHost() as host:

        def starve(sender):
            asyncio.get_running_loop().call_later(0.1, time.sleep, 0.4)

        record = await sent(evenly(100, 0.8), host.port, before=starve)
        why = void_reason(record, 10.0, 0.001)
        assert "the generator itself began" in why and record.lateness.get_max_value() >= 0.3 * US_PER_S
        document = build_report(record, "starved", why)
        assert "VOID" in format_report(document) and document["due"] == 80
        assert (
            percentiles_ms(record.latency_of(Outcome.SERVED))["max"] >= 300
        )  # and latency is counted from when it was due


@run_on_uvloop
async def test_run_when_the_generator_has_no_descriptors_then_is_void(monkeypatch):
    async with EmulatedHost() as host:
        dues = evenly(50, 0.2)

        class Short(Sender):
            pass

        sender = Short(iter(dues), {"read": ClassSection()}, [("127.0.0.1", host.port)])
        target = sender.targets[0]

        async def none(request):
            sender.record.descriptor_shortages += 1
            sender._on_outcome(request, Outcome.UNSENT)

        real = type(target).connect

        async def connect(request):
            if request.scheduled.request_id in ("r3", "r4"):
                error = OSError(errno.EMFILE, "too many")

                async def fails(*_, **__):
                    raise error

                class Loop:
                    create_connection = staticmethod(fails)

                monkeypatch.setattr("apigateway.tools.load.target.asyncio.get_running_loop", lambda: Loop)
                try:
                    await real(target, request)
                finally:
                    monkeypatch.undo()
            else:
                await real(target, request)

        target.connect = connect
        target.idle = Never()
        record = await sender.run()
        assert record.descriptor_shortages == 2 and "no descriptor" in void_reason(record, 10_000, 1.0)


class Never(list):
    """No connection is kept."""

    def append(self, _):
        pass


@run_on_uvloop
async def test_run_of_no_request_and_of_one():
    async with EmulatedHost() as host:
        record = await sent([], host.port)
        assert build_report(record, "none", "")["due"] == 0 and percentiles_ms(record.latency_of()) == {}
        record = await sent([due(0.05)], host.port)
        assert record.counts()[Outcome.SERVED] == 1


@run_on_uvloop
async def test_write_command_has_its_key_and_body():
    async with EmulatedHost() as host:
        await sent([due(0.0, 7, "read")], host.port, effect="keyed")
        assert host.commands[0][0] == b"API.WRITE" and b"k=r7" in host.commands[0][3]


@run_on_uvloop
async def test_run_command_when_it_ends_or_is_stopped_then_reports(tmp_path):
    scenario = (
        '[run]\nname = "try"\nseconds = {}\nlate_ms = 5000.0\n[classes.read]\n[plans.p]\n'
        'employers = 3\n[[streams]]\nclass = "read"\nplan = "p"\n'
        'shape = {{ kind = "constant", rate = 100.0 }}\n[targets]\ngateways = ["127.0.0.1:{}"]\n'
    )
    async with LocalDeployment(tmp_path) as site:
        await site.start_gateway()
        file = tmp_path / "scenario.toml"
        for seconds in (1.0, 60.0):
            file.write_text(scenario.format(seconds, site.port))
            program = await asyncio.create_subprocess_exec(
                *GATEWAY_COMMAND,
                "load",
                "run",
                str(file),
                "--json",
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
            )
            if seconds > 10:
                for _ in range(50):
                    await site.hosts[0].arrivals.get()
                while site.hosts[0].arrivals.qsize():
                    site.hosts[0].arrivals.get_nowait()
                await site.hosts[0].arrivals.get()  # it is in the middle of it
                program.send_signal(signal.SIGINT)
            out, err = await program.communicate()
            assert program.returncode == 0, err
            document = json.loads(out)
            assert document["due"] == sum(document["counts"].values()) > 0 and not document["void"]
            assert document.get("stopped", False) is (seconds > 10) and document["counts"]["served"] > 0
        file.write_text(scenario.format(1.0, 1).replace('"127.0.0.1:1"', ""))
        ended = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "apigateway", "load", "run", str(file)],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        assert ended.returncode == 2 and "none to send to" in ended.stderr


@seed(15)
@settings(max_examples=60, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(Outcome), st.integers(1, 10_000_000), st.integers(0, 5)),
        min_size=1,
        max_size=200,
    ),
    st.integers(0, 200),
)
def test_records_of_several_processes_add_up_to_that_of_one(rows, cut):
    one, parts = LoadRecord(), (LoadRecord(), LoadRecord())
    for n, (outcome, latency, second) in enumerate(rows):
        for record in (one, parts[n < cut]):
            record.record_start(latency)
            record.record_outcome(second * US_PER_S, "read", "p", outcome, latency)
    parts[0].add(parts[1])
    assert build_report(one, "x", "") == build_report(parts[0], "x", "")
    exact = sorted(latency for _, latency, _ in rows)
    latencies = one.latency_of()
    for part in (50.0, 90.0, 99.0, 100.0):
        true = exact[max(0, int(part * len(exact) / 100 + 0.5) - 1)]  # to the nearest rank
        assert latencies.get_value_at_percentile(part) == pytest.approx(true, rel=0.002, abs=1)

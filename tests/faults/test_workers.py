"""Several gateways on one address under a supervisor: killed, hung, fat, in a crash loop, reloaded,
stopped."""

import asyncio
import os
import signal
from pathlib import Path

import pytest
from gateway_harness import VALUE, VALUE_REPLY, make_command, make_fields, read_reply, run_on_uvloop
from local_deployment import GATEWAY_COMMAND, LEDGER_TERMS, ROOT, BackgroundTraffic, LocalDeployment

from apigateway.daemon.settings import read_settings
from apigateway.daemon.workers import WorkerAssignment, settings_for_worker
from apigateway.emulators.clients import Client, Customer, Traffic, TrafficClass
from apigateway.emulators.ledger import Ceiling, ClassRules, Ledger, format_verdicts
from apigateway.emulators.ledger import RuleLimits as LedgerTerms


def children(program):
    told = Path(f"/proc/{program.pid}/task/{program.pid}/children").read_text().split()
    return [int(pid) for pid in told]


async def until(true, what):
    """Waits for something that only the system shows."""
    for _ in range(3000):
        if value := true():
            return value
        await asyncio.sleep(0.01)
    raise AssertionError(what)


class Group(LocalDeployment):
    async def up(self, count=3, settings="", **kw):
        self.write_settings(workers=settings or "watchdog = 1.0\nsteady = 0.5", **kw)
        program = await self.start_gateway("--workers", str(count), ready=False)
        await self.wait_for_log_line(program, b"workers listen on")
        return program

    async def ended(self, program):
        program.send_signal(signal.SIGTERM)
        while await program.stderr.readline():
            pass
        return await program.wait()


@pytest.mark.parametrize(
    "how, word",
    [
        (signal.SIGKILL, b"exited (signal 9); restart in"),
        (signal.SIGSTOP, b"is not responding: killed"),
    ],
)
@run_on_uvloop
async def test_a_worker_that_dies_or_hangs_is_made_anew_and_its_requests_are_lost_in_no_other_way(
    how, word, tmp_path
):
    ledger = Ledger(LEDGER_TERMS)
    async with Group(tmp_path, ledger=ledger) as site:
        program = await site.up()
        workers = children(program)
        load = BackgroundTraffic(site, ledger, 200.0)
        async with asyncio.timeout(60):
            await load.__aenter__()
            os.kill(workers[1], how)
            await site.wait_for_log_line(program, word)
            await until(
                lambda: len(children(program)) == 3 and workers[1] not in children(program), "made anew"
            )
            await load.wait_for_served(100)
            await load.stop()
        # What a worker had accepted dies with it, as with a machine: the client's connection ends or its
        # time does.
        # No other rule gives way.
        for verdict in ledger.check_rules():
            assert verdict.kept or verdict.rule == "no request lost", format_verdicts([verdict])
        assert set(children(program)) & set(workers) == {workers[0], workers[2]}
        assert await site.ended(program) == 0


@run_on_uvloop
async def test_ceilings_hold_over_all_workers_of_one_address(tmp_path):
    """Its clients know one gateway: spread 1, first 0. One worker is killed on the way."""
    kinds = {"read": ClassRules("safe"), "note": ClassRules("unsafe")}
    ledger = Ledger(LedgerTerms(kinds, {"p": Ceiling(40.0, 60.0, 0.1)}))
    async with Group(tmp_path, ledger=ledger) as site:
        site.write_settings(workers="watchdog = 1.0")
        text = site.settings_file.read_text().replace(
            "rate = 10000.0\nburst = 100000.0",
            "rate = 20.0\nburst = 30.0\nceiling_rate = 40.0\nceiling_burst = 60.0\nceiling_slack = 6.0",
        )
        site.settings_file.write_text(text)
        program = await site.start_gateway("--workers", "3", ready=False)
        await site.wait_for_log_line(program, b"workers listen on")
        client = Client(ledger, {"g": ("127.0.0.1", site.port)})
        traffic = Traffic(
            client,
            [Customer(f"{n:016x}", "p", 150.0, 0, 1) for n in range(2)],
            [TrafficClass("read", "safe", 0.7, 3.0), TrafficClass("note", "unsafe", 0.3, 3.0)],
        )

        async def trouble():
            await asyncio.sleep(1.5)
            os.kill(children(program)[0], signal.SIGKILL)

        await asyncio.gather(traffic.run(5.0), trouble())
        client.close()
        for verdict in ledger.check_rules():
            assert verdict.kept or verdict.rule == "no request lost", format_verdicts([verdict])
        told = {v.rule: v for v in ledger.check_rules()}
        assert told["ceilings kept"].checked and told["ceilings kept"].kept
        served = sum(count for (_, _, kind), count in ledger.outcomes().items() if kind == "served")
        assert served > 100  # and quotas are not simply shut
        assert await site.ended(program) == 0


def held(pid):
    """MB that a process holds."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


@run_on_uvloop
async def test_one_that_grows_to_its_limit_finishes_what_it_has_and_is_made_anew(tmp_path):
    """A host that says nothing lets bodies pile up in both workers."""
    async with Group(tmp_path, hosts=1, answer=lambda: None) as site:
        program = await site.up(2)
        before = children(program)
        most = int(max(map(held, before))) + 4
        site.write_settings(workers="watchdog = 1.0\nsteady = 0.5", limits=f"memory_mb = {most}")
        program.send_signal(signal.SIGHUP)
        for _ in range(2):
            await site.wait_for_log_line(program, b"reload: ")
        lines = [await asyncio.open_connection("127.0.0.1", site.port) for _ in range(80)]
        body = b"x" * 64_000
        for k, (_, writer) in enumerate(lines):
            for n in range(4):
                writer.write(
                    make_command(
                        b"%d-%d" % (k, n),
                        b"c=note,t=p,d=3000,units=1,spread=1,first=0",
                        b"API.WRITE",
                        body=body,
                    )
                )
        await site.wait_for_log_line(program, b"uses more than limits.memory_mb")
        for reader, writer in lines:  # each is answered, in whichever worker it was
            for _ in range(4):
                assert (await read_reply(reader))[:5] in (b"-ERR ", b"-BUSY")
            writer.close()
        await site.wait_for_log_line(program, b"exited (exit code 0); restart in")
        await until(lambda: len(children(program)) == 2 and children(program) != before, "made anew")
        site.hosts[0].answer = VALUE
        # the host that said nothing is doubted for a moment
        while await site.send_request(make_command(b"after")) != VALUE_REPLY:
            await asyncio.sleep(0.05)
        assert await site.ended(program) == 0


@run_on_uvloop
async def test_a_crash_loop_ends_plainly(tmp_path):
    async with Group(tmp_path) as site:
        program = await site.up(2, "crashes = 3\nrest = 0.05\nsteady = 600.0")
        stays = children(program)[1]
        for _ in range(3):  # always the same worker
            others = await until(lambda: [one for one in children(program) if one != stays], "another")
            pid = others[0]
            os.kill(pid, signal.SIGKILL)
            await until(
                lambda pid=pid: program.returncode is not None or pid not in children(program), "its end"
            )
        while line := await program.stderr.readline():
            site.logs[program].append(line)
        assert await program.wait() == 1
        assert b"times in a row: stopping all workers" in b"".join(site.logs[program])


@run_on_uvloop
async def test_workers_end_by_themselves_when_their_supervisor_is_killed(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with Group(tmp_path, ledger=ledger) as site:
        program = await site.up(2)
        workers = children(program)
        async with BackgroundTraffic(site, ledger):
            pass
        os.kill(program.pid, signal.SIGKILL)
        await program.wait()
        await until(lambda: not any(Path(f"/proc/{pid}").exists() for pid in workers), "their end")
        program = await site.up(2)  # and the address is free again
        assert await site.ended(program) == 0


@run_on_uvloop
async def test_what_asks_a_gateway_asks_all_its_workers(tmp_path):
    async with Group(tmp_path) as site:
        program = await site.up(2)
        for act in (["hosts"], ["plugin", "status"]):
            asked = await asyncio.create_subprocess_exec(
                *GATEWAY_COMMAND, *act, str(site.settings_file), cwd=ROOT, stdout=asyncio.subprocess.PIPE
            )
            said, _ = await asked.communicate()
            assert asked.returncode == 0 and b"worker-0:\n" in said and b"worker-1:\n" in said
        assert await site.ended(program) == 0


@run_on_uvloop
async def test_reload_and_stop_act_on_all_and_what_only_the_supervisor_could_is_refused(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with Group(tmp_path, ledger=ledger) as site:
        program = await site.up(3)
        async with BackgroundTraffic(site, ledger) as load:
            site.write_settings(workers="watchdog = 1.0\nsteady = 0.5", limits="max_open = 77")
            program.send_signal(signal.SIGHUP)
            for _ in range(3):
                assert b"limits.max_open" in await site.wait_for_log_line(program, b"reload: took effect")
            site.write_settings(ports=[site.port, 1], workers="watchdog = 1.0\nsteady = 0.5")
            program.send_signal(signal.SIGHUP)
            await site.wait_for_log_line(program, b"listeners, workers or daemon.state needs a restart")
            site.settings_file.write_text("nonsense")
            program.send_signal(signal.SIGHUP)
            await site.wait_for_log_line(program, b"rejected, the old settings stay in force")
            await load.wait_for_served(20)
        assert await site.ended(program) == 0


@run_on_uvloop
async def test_workers_without_a_counter_are_refused(tmp_path):
    async with Group(tmp_path) as site:
        site.write_settings(workers="count = 2")
        site.settings_file.write_text(
            site.settings_file.read_text().replace(f'address = "127.0.0.1:{site.counter.port}"', "")
        )
        program = await site.start_gateway(ready=False)
        await site.wait_for_log_line(program, b"several workers cannot enforce a quota without a counter")
        assert await program.wait() == 2


async def drained(program):
    """Its end, its log read to the last line."""
    while await program.stderr.readline():
        pass
    return await program.wait()


async def successor(site, *arguments):
    program = await site.start_gateway("--take-over", *arguments, ready=False)
    await site.wait_for_log_line(program, b"workers listen on")
    return program


@run_on_uvloop
async def test_a_supervisor_takes_over_worker_by_worker_and_another_from_that_one(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with Group(tmp_path, ledger=ledger) as site:
        first = await site.up(3)
        async with BackgroundTraffic(site, ledger) as load:
            for _ in range(2):
                second = await successor(site, "--workers", "3")
                assert await drained(first) == 0
                await load.wait_for_served(30)
                first = second
            ledger.record_gateway_kill(
                "g"
            )  # what that one worker holds at this moment is for its clients to ask again
            ledger.record_gateway_start("g")
            os.kill(children(first)[0], signal.SIGKILL)  # it tends them as its own
            await site.wait_for_log_line(first, b"exited (signal 9); restart in")
            await until(lambda: len(children(first)) == 3, "made anew")
        assert await site.ended(first) == 0


@pytest.mark.parametrize("how", ["a bad file", "killed at its second worker", "another count", "no workers"])
@run_on_uvloop
async def test_a_successor_that_fails_leaves_the_old_supervisor_with_all_its_workers(how, tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with Group(tmp_path, ledger=ledger) as site:
        first = await site.up(3)
        before = children(first)
        load = BackgroundTraffic(site, ledger, 100.0)
        await load.__aenter__()
        if how == "a bad file":
            good = site.settings_file.read_text()
            site.settings_file.write_text("nonsense")
            second = await site.start_gateway("--take-over", "--workers", "3", ready=False)
            assert await drained(second) == 2
            site.settings_file.write_text(good)
        elif how == "killed at its second worker":
            second = await site.start_gateway("--take-over", "--workers", "3", ready=False)
            await until(lambda: len(children(second)) >= 2, "its second worker")
            second.send_signal(signal.SIGKILL)
            await drained(second)
            await until(lambda: len(children(first)) == 3 and before[0] not in children(first), "made anew")
        else:
            arguments = ["--workers", "2"] if how == "another count" else []
            second = await site.start_gateway("--take-over", *arguments, ready=False)
            word = b"needs a restart" if arguments else b"use --workers"
            await site.wait_for_log_line(second, word)
            assert await drained(second) == 1 and children(first) == before
        await load.wait_for_served(30)
        third = await successor(site, "--workers", "3")  # and the next one can
        assert await drained(first) == 0
        await load.wait_for_served(30)
        await load.stop()
        # A supervisor that is killed is more than a hand-over that fails: its workers end, and clients see
        # it.
        for verdict in ledger.check_rules():
            assert verdict.kept or (verdict.rule == "no request lost" and "killed" in how), format_verdicts(
                [verdict]
            )
        assert await site.ended(third) == 0


@run_on_uvloop
async def test_a_write_in_work_at_a_predecessors_worker_is_taken_by_no_successors(tmp_path):
    async with Group(tmp_path, hosts=1, answer=lambda: None) as site:
        first = await site.up(2)
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        # Long enough for the successor to start on a busy machine: past it the id would rightly be free.
        note = make_command(b"n1", b"c=note,t=p,d=9000,units=1,spread=1,first=0", b"API.WRITE", body=b"B")
        writer.write(note)
        await site.hosts[0].arrivals.get()
        second = await successor(site, "--workers", "2")
        for _ in range(4):  # whichever worker accepts
            assert await site.send_request(note) == b"-ERR this id is in work\r\n"
        assert (await reader.readline()) == b"-ERR failed\r\n"  # in time, though nobody answered it
        writer.close()
        assert len(site.hosts[0].commands) == 1
        assert await drained(first) == 0 and await site.ended(second) == 0


def test_a_workers_place_in_the_group(tmp_path):
    file = tmp_path / "gateway.toml"
    file.write_text(
        '[[listeners]]\naddress = "127.0.0.1:7000"\n[gateway]\nindex = 1\ngateways = 2\n'
        "seed = 5\n"
        '[counter]\naddress = "127.0.0.1:1"\n[daemon]\nstate = "/run/x"\n'
        '[classes.read]\neffect = "safe"\naim = 1.0\ndeadline = 3.0\n'
        '[plans.p]\nrate = 1.0\nburst = 4.0\n[workers]\ncount = 4\naddress = "own"\n'
    )
    told = settings_for_worker(read_settings(str(file)), WorkerAssignment(2, 4, ()))
    assert (told.gateway.index, told.gateway.gateways, told.gateway.seed) == (6, 8, 7)
    assert told.gateway.name == "gateway-0.2" and told.daemon.state == "/run/x/worker-2"
    assert told.listeners[0].address == "127.0.0.1:7002"


def test_a_set_of_gateways_that_clients_know_as_one_spans_all_its_workers():
    from gateway_harness import SETTINGS

    from apigateway.frontends.resp.command import InvalidCommandError, parse_command
    from apigateway.platform_settings import read_settings as platform

    settings = platform(SETTINGS)
    parts = [b"API.READ", b"00000000b4d65521", b"r1", make_fields(spread="1", first="0")]
    one, _ = parse_command(settings, parts, {})
    assert (one.first_gateway, one.gateway_spread) == (0, 1)
    count = settings.gateway_count
    whole, _ = parse_command(settings, parts, {}, count)  # all gateways are one machine's workers
    assert (whole.first_gateway, whole.gateway_spread) == (0, count)
    with pytest.raises(InvalidCommandError):
        parse_command(settings, [*parts[:3], make_fields(spread="2", first="0")], {}, count)
    assert make_command(b"x")

"""Several worker processes on one address under a supervisor.

Workers are killed, hang, exceed their memory limit, crash repeatedly, are reloaded and stopped.
"""

import asyncio
import os
import signal
from pathlib import Path

import pytest
from gateway_harness import VALUE, VALUE_REPLY, make_command, make_fields, read_reply, run_on_uvloop
from local_deployment import GATEWAY_COMMAND, LEDGER_TERMS, ROOT, BackgroundTraffic, LocalDeployment

from apigateway.daemon.handover import HandoverError
from apigateway.daemon.settings import read_settings
from apigateway.daemon.status_query import query_gateway
from apigateway.daemon.workers import WorkerAssignment, settings_for_worker
from apigateway.emulators.clients import Client, Customer, Traffic, TrafficClass
from apigateway.emulators.ledger import Ceiling, ClassRules, Ledger, RuleLimits, format_verdicts

MIN_MEMORY_MB = 48  # the least that the settings accept


def worker_pids(process):
    text = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    return [int(pid) for pid in text]


async def wait_until(condition, description):
    """Wait until `condition` returns a true value, for conditions that only the operating system shows."""
    for _ in range(3000):
        if value := condition():
            return value
        await asyncio.sleep(0.01)
    raise AssertionError(description)


class WorkerDeployment(LocalDeployment):
    async def start_workers(self, count=3, settings="", **tables):
        self.write_settings(workers=settings or "watchdog = 1.0\nsteady = 0.5", **tables)
        process = await self.start_gateway("--workers", str(count), ready=False)
        await self.wait_for_log_line(process, b"workers listen on")
        return process

    async def stop(self, process):
        process.send_signal(signal.SIGTERM)
        while await process.stderr.readline():
            pass
        return await process.wait()


@pytest.mark.parametrize(
    "signal_number, log_text",
    [
        (signal.SIGKILL, b"exited (signal 9); restart in"),
        (signal.SIGSTOP, b"is not responding: killed"),
    ],
)
@run_on_uvloop
async def test_worker_that_dies_or_hangs_is_restarted_and_only_its_requests_are_lost(
    signal_number, log_text, tmp_path
):
    ledger = Ledger(LEDGER_TERMS)
    async with WorkerDeployment(tmp_path, ledger=ledger) as deployment:
        process = await deployment.start_workers()
        workers = worker_pids(process)
        traffic = BackgroundTraffic(deployment, ledger, 200.0)
        async with asyncio.timeout(60):
            await traffic.__aenter__()
            os.kill(workers[1], signal_number)
            await deployment.wait_for_log_line(process, log_text)
            await wait_until(
                lambda: len(worker_pids(process)) == 3 and workers[1] not in worker_pids(process),
                "restart of the worker",
            )
            await traffic.wait_for_served(100)
            await traffic.stop()
        # Requests that a worker had accepted are lost with it, as with a machine: the client's connection
        # ends or its timeout passes. All other rules must hold.
        for verdict in ledger.check_rules():
            assert verdict.kept or verdict.rule == "no request lost", format_verdicts([verdict])
        assert set(worker_pids(process)) & set(workers) == {workers[0], workers[2]}
        assert await deployment.stop(process) == 0


@run_on_uvloop
async def test_ceilings_hold_over_all_workers_of_one_address(tmp_path):
    """The clients see one gateway (spread 1, first 0). One worker is killed under load."""
    classes = {"read": ClassRules("safe"), "note": ClassRules("unsafe")}
    ledger = Ledger(RuleLimits(classes, {"p": Ceiling(40.0, 60.0, 0.1)}))
    async with WorkerDeployment(tmp_path, ledger=ledger) as deployment:
        deployment.write_settings(workers="watchdog = 1.0")
        text = deployment.settings_file.read_text().replace(
            "rate = 10000.0\nburst = 100000.0",
            "rate = 20.0\nburst = 30.0\nceiling_rate = 40.0\nceiling_burst = 60.0\nceiling_slack = 6.0",
        )
        deployment.settings_file.write_text(text)
        process = await deployment.start_gateway("--workers", "3", ready=False)
        await deployment.wait_for_log_line(process, b"workers listen on")
        client = Client(ledger, {"g": ("127.0.0.1", deployment.port)})
        traffic = Traffic(
            client,
            [Customer(f"{n:016x}", "p", 150.0, 0, 1) for n in range(2)],
            [TrafficClass("read", "safe", 0.7, 3.0), TrafficClass("note", "unsafe", 0.3, 3.0)],
        )

        async def kill_worker():
            await asyncio.sleep(1.5)
            os.kill(worker_pids(process)[0], signal.SIGKILL)

        await asyncio.gather(traffic.run(5.0), kill_worker())
        client.close()
        for verdict in ledger.check_rules():
            assert verdict.kept or verdict.rule == "no request lost", format_verdicts([verdict])
        verdicts = {v.rule: v for v in ledger.check_rules()}
        assert verdicts["ceilings kept"].checked and verdicts["ceilings kept"].kept
        served = sum(count for (_, _, kind), count in ledger.outcomes().items() if kind == "served")
        assert served > 100  # the quota must not reject everything
        assert await deployment.stop(process) == 0


def resident_mb(pid):
    """Return the resident memory of a process in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


@run_on_uvloop
async def test_worker_over_its_memory_limit_finishes_its_requests_and_is_restarted(tmp_path):
    """A silent host makes bodies accumulate in both workers, and other clients send parts of bodies."""
    async with WorkerDeployment(tmp_path, hosts=1, answer=lambda: None) as deployment:
        process = await deployment.start_workers(2)
        pids_before = worker_pids(process)
        limit_mb = max(MIN_MEMORY_MB, int(max(map(resident_mb, pids_before))) + 4)
        deployment.write_settings(workers="watchdog = 1.0\nsteady = 0.5", limits=f"memory_mb = {limit_mb}")
        process.send_signal(signal.SIGHUP)
        for _ in range(2):
            assert b"rejected" not in await deployment.wait_for_log_line(process, b"reload: ")
        connections = [await asyncio.open_connection("127.0.0.1", deployment.port) for _ in range(80)]
        body = b"x" * 64_000
        for k, (_, writer) in enumerate(connections):
            for n in range(4):
                writer.write(
                    make_command(
                        b"%d-%d" % (k, n),
                        b"c=note,t=p,d=3000,units=1,spread=1,first=0",
                        b"API.WRITE",
                        body=body,
                    )
                )
        unfinished = [await asyncio.open_connection("127.0.0.1", deployment.port) for _ in range(240)]
        for _, writer in unfinished:
            writer.write(make_command(b"part", verb=b"API.WRITE", body=body)[:-10])
        await deployment.wait_for_log_line(process, b"uses more than limits.memory_mb")
        for reader, writer in connections:  # each request is answered, whichever worker holds it
            for _ in range(4):
                assert (await read_reply(reader))[:5] in (b"-ERR ", b"-BUSY")
            writer.close()
        for _, writer in unfinished:
            writer.close()
        await deployment.wait_for_log_line(process, b"exited (exit code 0); restart in")
        await wait_until(
            lambda: len(worker_pids(process)) == 2 and worker_pids(process) != pids_before,
            "restart of the worker",
        )
        deployment.hosts[0].answer = VALUE
        # The host that was silent is not used for a moment.
        while await deployment.send_request(make_command(b"after")) != VALUE_REPLY:
            await asyncio.sleep(0.05)
        assert await deployment.stop(process) == 0


@run_on_uvloop
async def test_supervisor_stops_all_workers_after_a_crash_loop(tmp_path):
    async with WorkerDeployment(tmp_path) as deployment:
        process = await deployment.start_workers(2, "crashes = 3\nrest = 0.05\nsteady = 600.0")
        other_pid = worker_pids(process)[1]
        for _ in range(3):  # kill the same worker each time
            pids = await wait_until(
                lambda: [worker_pid for worker_pid in worker_pids(process) if worker_pid != other_pid],
                "replacement of the worker",
            )
            pid = pids[0]
            os.kill(pid, signal.SIGKILL)
            await wait_until(
                lambda pid=pid: process.returncode is not None or pid not in worker_pids(process),
                "exit of the worker",
            )
        while line := await process.stderr.readline():
            deployment.logs[process].append(line)
        assert await process.wait() == 1
        assert b"times in a row: stopping all workers" in b"".join(deployment.logs[process])


@run_on_uvloop
async def test_workers_exit_when_their_supervisor_is_killed(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with WorkerDeployment(tmp_path, ledger=ledger) as deployment:
        process = await deployment.start_workers(2)
        workers = worker_pids(process)
        async with BackgroundTraffic(deployment, ledger):
            pass
        os.kill(process.pid, signal.SIGKILL)
        await process.wait()
        await wait_until(
            lambda: not any(Path(f"/proc/{pid}").exists() for pid in workers), "exit of the workers"
        )
        process = await deployment.start_workers(2)  # the address is free again
        assert await deployment.stop(process) == 0


@run_on_uvloop
async def test_commands_query_all_workers_of_a_gateway(tmp_path):
    async with WorkerDeployment(tmp_path) as deployment:
        process = await deployment.start_workers(2)
        for command in (["hosts"], ["plugin", "status"]):
            command_process = await asyncio.create_subprocess_exec(
                *GATEWAY_COMMAND,
                *command,
                str(deployment.settings_file),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await command_process.communicate()
            assert command_process.returncode == 0 and b"worker-0:\n" in output and b"worker-1:\n" in output
        assert await deployment.stop(process) == 0


@run_on_uvloop
async def test_reload_and_stop_reach_all_workers_and_supervisor_settings_need_a_restart(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with WorkerDeployment(tmp_path, ledger=ledger) as deployment:
        process = await deployment.start_workers(3)
        async with BackgroundTraffic(deployment, ledger) as traffic:
            deployment.write_settings(workers="watchdog = 1.0\nsteady = 0.5", limits="max_open = 77")
            process.send_signal(signal.SIGHUP)
            for _ in range(3):
                assert b"limits.max_open" in await deployment.wait_for_log_line(
                    process, b"reload: took effect"
                )
            deployment.write_settings(ports=[deployment.port, 1], workers="watchdog = 1.0\nsteady = 0.5")
            process.send_signal(signal.SIGHUP)
            await deployment.wait_for_log_line(process, b"listeners, workers or daemon.state needs a restart")
            deployment.settings_file.write_text("nonsense")
            process.send_signal(signal.SIGHUP)
            await deployment.wait_for_log_line(process, b"rejected, the old settings stay in force")
            await traffic.wait_for_served(20)
        assert await deployment.stop(process) == 0


@run_on_uvloop
async def test_workers_without_a_counter_are_rejected(tmp_path):
    async with WorkerDeployment(tmp_path) as deployment:
        deployment.write_settings(workers="count = 2")
        deployment.settings_file.write_text(
            deployment.settings_file.read_text().replace(
                f'address = "127.0.0.1:{deployment.counter.port}"', ""
            )
        )
        process = await deployment.start_gateway(ready=False)
        await deployment.wait_for_log_line(
            process, b"several workers cannot enforce a quota without a counter"
        )
        assert await process.wait() == 2


async def wait_for_exit(process):
    """Read the process's log to the end, and return its exit code."""
    while await process.stderr.readline():
        pass
    return await process.wait()


async def start_successor(deployment, *arguments):
    process = await deployment.start_gateway("--take-over", *arguments, ready=False)
    await deployment.wait_for_log_line(process, b"workers listen on")
    return process


async def wait_until_handover_is_offered(state_folder):
    """Wait until the worker with this state folder serves; before that it has no pid for a successor."""
    for _ in range(3000):
        try:
            return await query_gateway(str(state_folder / "handover"), "hosts")
        except HandoverError:
            await asyncio.sleep(0.01)
    raise AssertionError("no worker offers a hand-over")


@run_on_uvloop
async def test_two_supervisors_take_over_one_after_the_other_worker_by_worker(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with WorkerDeployment(tmp_path, ledger=ledger) as deployment:
        first = await deployment.start_workers(3)
        async with BackgroundTraffic(deployment, ledger) as traffic:
            for _ in range(2):
                second = await start_successor(deployment, "--workers", "3")
                assert await wait_for_exit(first) == 0
                await traffic.wait_for_served(30)
                first = second
            # The clients have to retry the requests that the killed worker holds.
            ledger.record_gateway_kill("g")
            ledger.record_gateway_start("g")
            os.kill(worker_pids(first)[0], signal.SIGKILL)  # a worker that the new supervisor took over
            await deployment.wait_for_log_line(first, b"exited (signal 9); restart in")
            await wait_until(lambda: len(worker_pids(first)) == 3, "restart of the worker")
        assert await deployment.stop(first) == 0


@pytest.mark.parametrize(
    "failure", ["a bad file", "killed at its second worker", "another count", "no workers"]
)
@run_on_uvloop
async def test_old_supervisor_keeps_all_workers_when_its_successor_fails(failure, tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with WorkerDeployment(tmp_path, ledger=ledger) as deployment:
        first = await deployment.start_workers(3)
        pids_before = worker_pids(first)
        traffic = BackgroundTraffic(deployment, ledger, 100.0)
        await traffic.__aenter__()
        if failure == "a bad file":
            valid_text = deployment.settings_file.read_text()
            deployment.settings_file.write_text("nonsense")
            second = await deployment.start_gateway("--take-over", "--workers", "3", ready=False)
            assert await wait_for_exit(second) == 2
            deployment.settings_file.write_text(valid_text)
        elif failure == "killed at its second worker":
            second = await deployment.start_gateway("--take-over", "--workers", "3", ready=False)
            await wait_until(lambda: len(worker_pids(second)) >= 2, "second worker of the successor")
            second.send_signal(signal.SIGKILL)
            await wait_for_exit(second)
            await wait_until(
                lambda: len(worker_pids(first)) == 3 and pids_before[0] not in worker_pids(first),
                "restart of the worker",
            )
            await wait_until_handover_is_offered(tmp_path / "state" / "worker-0")
        else:
            arguments = ["--workers", "2"] if failure == "another count" else []
            second = await deployment.start_gateway("--take-over", *arguments, ready=False)
            log_text = b"needs a restart" if arguments else b"use --workers"
            await deployment.wait_for_log_line(second, log_text)
            assert await wait_for_exit(second) == 1 and worker_pids(first) == pids_before
        await traffic.wait_for_served(30)
        next_successor = await start_successor(deployment, "--workers", "3")  # the next successor succeeds
        assert await wait_for_exit(first) == 0
        await traffic.wait_for_served(30)
        await traffic.stop()
        # A killed supervisor is worse than a failed hand-over: its workers exit, and clients notice.
        for verdict in ledger.check_rules():
            assert verdict.kept or (verdict.rule == "no request lost" and "killed" in failure), (
                format_verdicts([verdict])
            )
        assert await deployment.stop(next_successor) == 0


@run_on_uvloop
async def test_write_in_flight_at_an_old_worker_is_rejected_by_the_new_workers(tmp_path):
    async with WorkerDeployment(tmp_path, hosts=1, answer=lambda: None) as deployment:
        first = await deployment.start_workers(2)
        reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
        # Long enough for the successor to start on a busy machine; after the deadline the id would be free.
        write_command = make_command(
            b"n1", b"c=note,t=p,d=9000,units=1,spread=1,first=0", b"API.WRITE", body=b"B"
        )
        writer.write(write_command)
        await deployment.hosts[0].arrivals.get()
        second = await start_successor(deployment, "--workers", "2")
        for _ in range(4):  # whichever worker accepts the connection
            assert await deployment.send_request(write_command) == b"-ERR this id is in work\r\n"
        assert (await reader.readline()) == b"-ERR failed\r\n"  # at the deadline, since no host answered
        writer.close()
        assert len(deployment.hosts[0].commands) == 1
        assert await wait_for_exit(first) == 0 and await deployment.stop(second) == 0


def test_worker_settings_follow_from_its_assignment(tmp_path):
    file = tmp_path / "gateway.toml"
    file.write_text(
        '[[listeners]]\naddress = "127.0.0.1:7000"\n[gateway]\nindex = 1\ngateways = 2\n'
        "seed = 5\n"
        '[counter]\naddress = "127.0.0.1:1"\n[daemon]\nstate = "/run/x"\n'
        '[classes.read]\neffect = "safe"\naim = 1.0\ndeadline = 3.0\n'
        '[plans.p]\nrate = 1.0\nburst = 4.0\n[workers]\ncount = 4\naddress = "own"\n'
    )
    settings = settings_for_worker(read_settings(str(file)), WorkerAssignment(2, 4, ()))
    assert (settings.gateway.index, settings.gateway.gateways, settings.gateway.seed) == (6, 8, 7)
    assert settings.gateway.name == "gateway-0.2" and settings.daemon.state == "/run/x/worker-2"
    assert settings.listeners[0].address == "127.0.0.1:7002"


def test_spread_of_a_gateway_with_workers_covers_all_of_them():
    from gateway_harness import SETTINGS

    from apigateway.frontends.resp.command import InvalidCommandError, parse_command
    from apigateway.platform_settings import read_settings as platform

    settings = platform(SETTINGS)
    parts = [b"API.READ", b"00000000b4d65521", b"r1", make_fields(spread="1", first="0")]
    parsed, _ = parse_command(settings, parts, {})
    assert (parsed.first_gateway, parsed.gateway_spread) == (0, 1)
    count = settings.gateway_count
    parsed_for_group, _ = parse_command(settings, parts, {}, count)  # all gateways are workers of one machine
    assert (parsed_for_group.first_gateway, parsed_for_group.gateway_spread) == (0, count)
    with pytest.raises(InvalidCommandError):
        parse_command(settings, [*parts[:3], make_fields(spread="2", first="0")], {}, count)
    assert make_command(b"x")

"""Test a gateway process: notifications to the service manager, passed-in sockets, signals, hand-over."""

import asyncio
import json
import signal
import socket
import sys

import pytest
from gateway_harness import (
    VALUE_REPLY,
    BlockedFileRead,
    EmulatedCounter,
    EmulatedDiscovery,
    EmulatedHost,
    make_command,
    make_configuration,
    make_host_entry,
    read_reply,
    run_on_uvloop,
)
from local_deployment import GATEWAY_COMMAND, ROOT, LocalDeployment, free_port


class ServiceManager:
    """The notify socket of a service manager."""

    def __init__(self, folder):
        self.path = str(folder / "notify")
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.bind(self.path)
        self.sock.setblocking(False)

    async def receive_lines(self):
        return (await asyncio.get_running_loop().sock_recv(self.sock, 4096)).decode().split("\n")

    async def receive_until(self, line):
        while line not in (lines := await self.receive_lines()):
            pass
        return lines


@run_on_uvloop
async def test_service_manager_when_the_gateway_starts_reloads_and_stops_then_is_notified(tmp_path):
    manager = ServiceManager(tmp_path)
    async with LocalDeployment(tmp_path) as deployment:
        process = await deployment.start_gateway(
            env={"NOTIFY_SOCKET": manager.path, "WATCHDOG_USEC": "200000"}
        )
        assert (await manager.receive_lines())[:2] == ["READY=1", "STATUS=serving as gateway-0"]
        for _ in range(3):
            assert await manager.receive_lines() == ["WATCHDOG=1"]
        process.send_signal(signal.SIGHUP)
        lines = await manager.receive_until("RELOADING=1")
        assert lines[1].startswith("MONOTONIC_USEC=") and int(lines[1].split("=")[1]) > 0
        assert await manager.receive_until("READY=1") == ["READY=1", "STATUS=no changes"]
        process.send_signal(signal.SIGTERM)
        assert await manager.receive_until("STOPPING=1") == ["STOPPING=1"]
        assert await process.wait() == 0
    manager.sock.close()


@run_on_uvloop
async def test_take_over_when_the_successor_serves_then_it_becomes_the_main_process(tmp_path):
    manager = ServiceManager(tmp_path)
    async with LocalDeployment(tmp_path) as deployment:
        predecessor = await deployment.start_gateway()
        successor = await deployment.start_gateway("--take-over", env={"NOTIFY_SOCKET": manager.path})
        assert f"MAINPID={successor.pid}" in await manager.receive_lines()
        assert await predecessor.wait() == 0
    manager.sock.close()


@run_on_uvloop
async def test_start_when_no_endpoints_are_known_then_waits_for_a_list(tmp_path):
    from apigateway.emulators.discovery import EmulatedDiscovery

    async with LocalDeployment(tmp_path) as deployment, EmulatedDiscovery() as discovery:
        discovery.silent = True
        deployment.write_settings(hosts=f'source = "discovery"\ndiscovery = "127.0.0.1:{discovery.port}"')
        process = await deployment.start_gateway(ready=False)
        await deployment.wait_for_log_line(process, b"waiting for an endpoint list")
        await discovery.calls.get()
        discovery.servers, discovery.silent = [host.entry() for host in deployment.hosts], False
        await deployment.wait_for_log_line(process, b"listens on")
        assert (await deployment.send_request(make_command())).startswith(b"$")


@run_on_uvloop
async def test_sigterm_before_the_gateway_is_ready_then_it_exits(tmp_path):
    from apigateway.emulators.discovery import EmulatedDiscovery

    async with LocalDeployment(tmp_path) as deployment, EmulatedDiscovery() as discovery:
        discovery.silent = True
        deployment.write_settings(hosts=f'source = "discovery"\ndiscovery = "127.0.0.1:{discovery.port}"')
        process = await deployment.start_gateway(ready=False)
        await deployment.wait_for_log_line(process, b"waiting for an endpoint list")
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


@run_on_uvloop
async def test_sockets_when_they_are_passed_in_then_the_gateway_serves_them(tmp_path):
    async with LocalDeployment(tmp_path) as deployment:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port = sock.getsockname()[1]
            deployment.write_settings([port])
            launcher = (
                f"import os; os.dup2({sock.fileno()}, 3); "
                "os.environ.update(LISTEN_FDS='1', LISTEN_PID=str(os.getpid())); "
                f"os.execv({sys.executable!r}, "
                f"{[*GATEWAY_COMMAND, 'serve', str(deployment.settings_file)]!r})"
            )
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                launcher,
                cwd=ROOT,
                pass_fds=(sock.fileno(),),
                stderr=asyncio.subprocess.PIPE,
            )
            deployment.processes.append(process)
            deployment.logs[process] = []
            await deployment.wait_for_log_line(process, b"listens on")
        assert (await deployment.send_request(make_command(), port)).startswith(b"$")


@run_on_uvloop
async def test_start_with_a_platform_configuration_then_adds_a_listener_and_hand_over(tmp_path):
    async with (
        EmulatedHost() as host,
        EmulatedCounter() as counter,
        EmulatedDiscovery() as discovery,
        LocalDeployment(tmp_path) as deployment,
    ):
        discovery.servers = [make_host_entry(host)]
        platform_port, settings_port = free_port(), free_port()
        config = make_configuration([make_host_entry(host)], discovery.port, counter.port) | {
            "listen": f"127.0.0.1:{platform_port}"
        }
        (tmp_path / "config.json").write_text(json.dumps(config))
        env = {"RELAY_CONFIG": str(tmp_path / "config.json")}
        deployment.settings_file.write_text(
            f'[[listeners]]\naddress = "127.0.0.1:{settings_port}"\n'
            f'[daemon]\nstate = "{tmp_path / "state"}"\nlog_lines = 1000\n'
        )
        predecessor = await deployment.start_gateway(env=env)
        for number, port in enumerate((platform_port, settings_port)):
            assert await deployment.send_request(make_command(b"a%d" % number), port) == VALUE_REPLY
        deployment.settings_file.write_text(deployment.settings_file.read_text().replace("1000", "2000"))
        predecessor.send_signal(signal.SIGHUP)
        assert b"took effect: daemon.log_lines" in await deployment.wait_for_log_line(
            predecessor, b"reload: "
        )
        await deployment.start_gateway("--take-over", env=env)
        assert await predecessor.wait() == 0
        for number, port in enumerate((platform_port, settings_port)):
            assert await deployment.send_request(make_command(b"b%d" % number), port) == VALUE_REPLY
        deployment.settings_file.write_text("[plans.p]\nrate = 1.0\nburst = 1.0\n")
        rejected = await deployment.start_gateway(env=env, ready=False)
        assert (
            await rejected.wait() == 2
            and b"is set by the file that RELAY_CONFIG names" in await rejected.stderr.read()
        )


@run_on_uvloop
async def test_sighup_while_the_configuration_is_read_then_reloads_once_it_serves(tmp_path):
    """The settings file changes after it was read; without the reload, its old value would stay."""
    async with (
        EmulatedHost() as host,
        EmulatedCounter() as counter,
        EmulatedDiscovery() as discovery,
        LocalDeployment(tmp_path) as deployment,
    ):
        discovery.servers = [make_host_entry(host)]
        port, config = free_port(), tmp_path / "config.json"
        config_text = json.dumps(
            make_configuration([make_host_entry(host)], discovery.port, counter.port)
            | {"listen": f"127.0.0.1:{port}"}
        )
        deployment.settings_file.write_text("[daemon]\nlog_lines = 1000\n")
        blocked_read = BlockedFileRead(config, config_text)
        process = await deployment.start_gateway(env={"RELAY_CONFIG": str(config)}, ready=False)
        async with blocked_read as file:
            deployment.settings_file.write_text("[daemon]\nlog_lines = 2000\n")
            process.send_signal(signal.SIGHUP)
            file.write(config_text)
        assert b"took effect: daemon.log_lines" in await deployment.wait_for_log_line(process, b"reload: ")
        assert await deployment.send_request(make_command(), port) == VALUE_REPLY


# Guards against a listener that a reload opens while hosts are waited for, and that the start opens again.
@run_on_uvloop
async def test_listener_added_while_hosts_are_waited_for_is_closed_when_it_is_removed_again(tmp_path):
    async with LocalDeployment(tmp_path) as deployment, EmulatedDiscovery() as discovery:
        discovery.silent = True
        hosts = f'source = "discovery"\ndiscovery = "127.0.0.1:{discovery.port}"'
        added_port = free_port()
        deployment.write_settings(hosts=hosts)
        process = await deployment.start_gateway(ready=False)
        await deployment.wait_for_log_line(process, b"waiting for an endpoint list")
        deployment.write_settings([deployment.port, added_port], hosts=hosts)
        process.send_signal(signal.SIGHUP)
        assert b"took effect" in await deployment.wait_for_log_line(process, b"reload:")
        discovery.servers, discovery.silent = [host.entry() for host in deployment.hosts], False
        await deployment.wait_for_log_line(process, f"listens on 127.0.0.1:{added_port}".encode())
        reply = await deployment.send_request(make_command(b"r1"), added_port)
        assert reply.startswith(b"$")
        deployment.write_settings(hosts=hosts)
        process.send_signal(signal.SIGHUP)
        assert b"took effect" in await deployment.wait_for_log_line(process, b"reload:")
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", added_port)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


# Guards against connections that nobody accepts: the process kept the listening socket until its end.
@pytest.mark.parametrize("workers", ["1", "2"])
@run_on_uvloop
async def test_connection_after_the_linger_is_refused_and_not_left_waiting(workers, tmp_path):
    async with LocalDeployment(tmp_path, answer=lambda: None) as deployment:
        deployment.write_settings(daemon="linger = 0.1\nfinish = 4.0")
        process = await deployment.start_gateway("--workers", workers, ready=False)
        while True:  # until all workers serve
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
                break
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
        writer.write(make_command(b"held"))  # keeps the gateway from ending
        while not any(host.commands for host in deployment.hosts):
            await asyncio.sleep(0.01)
        held_reply = asyncio.ensure_future(read_reply(reader))
        process.send_signal(signal.SIGTERM)
        writers = []
        with pytest.raises(ConnectionRefusedError):
            while not held_reply.done():
                writers.append((await asyncio.open_connection("127.0.0.1", deployment.port))[1])
                await asyncio.sleep(0.01)
        assert not held_reply.done()
        for accepted_writer in writers:
            accepted_writer.close()
        assert (await held_reply).startswith(b"-")
        assert await process.wait() == 0

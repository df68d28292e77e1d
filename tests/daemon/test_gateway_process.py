"""A gateway's process: what the service manager is notified of, sockets passed in, signals, hand-over."""

import asyncio
import json
import signal
import socket
import sys

from gateway_harness import (
    VALUE_REPLY,
    BlockedFileRead,
    EmulatedCounter,
    EmulatedDiscovery,
    EmulatedHost,
    make_command,
    make_configuration,
    make_host_entry,
    run_on_uvloop,
)
from local_deployment import GATEWAY_COMMAND, ROOT, LocalDeployment, free_port


class Manager:
    """A service manager's notify socket."""

    def __init__(self, path):
        self.path = str(path / "notify")
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.bind(self.path)
        self.sock.setblocking(False)

    async def hear(self):
        return (await asyncio.get_running_loop().sock_recv(self.sock, 4096)).decode().split("\n")

    async def until(self, word):
        while word not in (told := await self.hear()):
            pass
        return told


@run_on_uvloop
async def test_service_manager_when_it_starts_reloads_and_stops_then_is_notified(tmp_path):
    manager = Manager(tmp_path)
    async with LocalDeployment(tmp_path) as site:
        program = await site.start_gateway(env={"NOTIFY_SOCKET": manager.path, "WATCHDOG_USEC": "200000"})
        assert (await manager.hear())[:2] == ["READY=1", "STATUS=serving as gateway-0"]
        for _ in range(3):
            assert await manager.hear() == ["WATCHDOG=1"]
        program.send_signal(signal.SIGHUP)
        told = await manager.until("RELOADING=1")
        assert told[1].startswith("MONOTONIC_USEC=") and int(told[1].split("=")[1]) > 0
        assert await manager.until("READY=1") == ["READY=1", "STATUS=no changes"]
        program.send_signal(signal.SIGTERM)
        assert await manager.until("STOPPING=1") == ["STOPPING=1"]
        assert await program.wait() == 0
    manager.sock.close()


@run_on_uvloop
async def test_take_over_when_it_serves_then_it_is_the_services_main_process(tmp_path):
    manager = Manager(tmp_path)
    async with LocalDeployment(tmp_path) as site:
        first = await site.start_gateway()
        second = await site.start_gateway("--take-over", env={"NOTIFY_SOCKET": manager.path})
        assert f"MAINPID={second.pid}" in await manager.hear()
        assert await first.wait() == 0
    manager.sock.close()


@run_on_uvloop
async def test_start_when_no_endpoints_are_known_then_it_waits_for_a_list(tmp_path):
    from apigateway.emulators.discovery import EmulatedDiscovery

    async with LocalDeployment(tmp_path) as site, EmulatedDiscovery() as discovery:
        discovery.silent = True
        site.write_settings(hosts=f'source = "discovery"\ndiscovery = "127.0.0.1:{discovery.port}"')
        program = await site.start_gateway(ready=False)
        await site.wait_for_log_line(program, b"waiting for an endpoint list")
        await discovery.calls.get()
        discovery.servers, discovery.silent = [h.entry() for h in site.hosts], False
        await site.wait_for_log_line(program, b"listens on")
        assert (await site.send_request(make_command())).startswith(b"$")


@run_on_uvloop
async def test_sigterm_before_it_is_ready_then_it_ends(tmp_path):
    from apigateway.emulators.discovery import EmulatedDiscovery

    async with LocalDeployment(tmp_path) as site, EmulatedDiscovery() as discovery:
        discovery.silent = True
        site.write_settings(hosts=f'source = "discovery"\ndiscovery = "127.0.0.1:{discovery.port}"')
        program = await site.start_gateway(ready=False)
        await site.wait_for_log_line(program, b"waiting for an endpoint list")
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


@run_on_uvloop
async def test_sockets_when_they_are_passed_in_then_are_served(tmp_path):
    async with LocalDeployment(tmp_path) as site:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port = sock.getsockname()[1]
            site.write_settings([port])
            manager = (
                f"import os; os.dup2({sock.fileno()}, 3); "
                "os.environ.update(LISTEN_FDS='1', LISTEN_PID=str(os.getpid())); "
                f"os.execv({sys.executable!r}, {[*GATEWAY_COMMAND, 'serve', str(site.settings_file)]!r})"
            )
            program = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                manager,
                cwd=ROOT,
                pass_fds=(sock.fileno(),),
                stderr=asyncio.subprocess.PIPE,
            )
            site.processes.append(program)
            site.logs[program] = []
            await site.wait_for_log_line(program, b"listens on")
        assert (await site.send_request(make_command(), port)).startswith(b"$")


@run_on_uvloop
async def test_start_beside_the_platform_then_it_adds_a_listener_and_a_hand_over(tmp_path):
    async with (
        EmulatedHost() as host,
        EmulatedCounter() as counter,
        EmulatedDiscovery() as discovery,
        LocalDeployment(tmp_path) as site,
    ):
        discovery.servers = [make_host_entry(host)]
        first, second = free_port(), free_port()
        config = make_configuration([make_host_entry(host)], discovery.port, counter.port) | {
            "listen": f"127.0.0.1:{first}"
        }
        (tmp_path / "config.json").write_text(json.dumps(config))
        env = {"RELAY_CONFIG": str(tmp_path / "config.json")}
        site.settings_file.write_text(
            f'[[listeners]]\naddress = "127.0.0.1:{second}"\n'
            f'[daemon]\nstate = "{tmp_path / "state"}"\nlog_lines = 1000\n'
        )
        old = await site.start_gateway(env=env)
        for n, port in enumerate((first, second)):
            assert await site.send_request(make_command(b"a%d" % n), port) == VALUE_REPLY
        site.settings_file.write_text(site.settings_file.read_text().replace("1000", "2000"))
        old.send_signal(signal.SIGHUP)
        assert b"took effect: daemon.log_lines" in await site.wait_for_log_line(old, b"reload: ")
        await site.start_gateway("--take-over", env=env)
        assert await old.wait() == 0
        for n, port in enumerate((first, second)):
            assert await site.send_request(make_command(b"b%d" % n), port) == VALUE_REPLY
        site.settings_file.write_text("[plans.p]\nrate = 1.0\nburst = 1.0\n")
        bad = await site.start_gateway(env=env, ready=False)
        assert (
            await bad.wait() == 2 and b"is set by the file that RELAY_CONFIG names" in await bad.stderr.read()
        )


@run_on_uvloop
async def test_sighup_while_its_configuration_is_read_then_it_reloads_once_it_serves(tmp_path):
    """The settings were read before: the file that is there by then has another number."""
    async with (
        EmulatedHost() as host,
        EmulatedCounter() as counter,
        EmulatedDiscovery() as discovery,
        LocalDeployment(tmp_path) as site,
    ):
        discovery.servers = [make_host_entry(host)]
        port, config = free_port(), tmp_path / "config.json"
        text = json.dumps(
            make_configuration([make_host_entry(host)], discovery.port, counter.port)
            | {"listen": f"127.0.0.1:{port}"}
        )
        site.settings_file.write_text("[daemon]\nlog_lines = 1000\n")
        held = BlockedFileRead(config, text)
        program = await site.start_gateway(env={"RELAY_CONFIG": str(config)}, ready=False)
        async with held as file:
            site.settings_file.write_text("[daemon]\nlog_lines = 2000\n")
            program.send_signal(signal.SIGHUP)
            file.write(text)
        assert b"took effect: daemon.log_lines" in await site.wait_for_log_line(program, b"reload: ")
        assert await site.send_request(make_command(), port) == VALUE_REPLY

"""The gateways' processes, started with the deploy file's `run`."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_S = 30.0
READY_POLL_S = 0.05
MEMORY_MB = 192
SOCKETS = 1024


class NotReadyError(Exception):
    """A gateway did not answer PING in time."""


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now, below those that the system assigns."""
    while True:
        port = 12_000 + secrets.randbelow(18_000)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                return port


class Gateway:
    """One gateway: its configuration and its process.

    Args:
        folder: An empty folder for the configuration, the log and TMPDIR.
        number: Its number.
        settings: Its settings.
        servers: The list of hosts that it had last.
        discovery_port: Its agent's port.
        counter_port: The counter's port.
    """

    def __init__(
        self,
        folder: Path,
        number: int,
        settings: dict[str, Any],
        servers: list[dict[str, Any]],
        discovery_port: int,
        counter_port: int,
    ) -> None:
        self.name = f"n{number}"
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self._folder = folder / self.name
        self._folder.mkdir()
        self.configuration: dict[str, Any] = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "counter": f"127.0.0.1:{counter_port}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": {"version": 1, "full": True, "servers": servers},
            "settings": settings,
        }

    def write_configuration(self) -> Path:
        """Replace the file of the configuration, with a new seed."""
        path = self._folder / "config.json"
        self.configuration["seed"] = secrets.token_hex(8)
        new = self._folder / "config.json.new"
        new.write_text(json.dumps(self.configuration), encoding="utf-8")
        new.replace(path)
        return path

    async def start(self) -> None:
        """Start the process, and wait until it answers PING. Raises NotReadyError."""
        path = self.write_configuration()
        deploy_file = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
        scratch = self._folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {
            **{
                name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "PYTHON"))
            },
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.configuration["listen"],
            "RELAY_DISCOVERY": self.configuration["discovery"],
            "RELAY_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }
        with (self._folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                tomllib.loads(deploy_file)["run"],
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        try:
            await asyncio.wait_for(self._wait_until_ready(), READY_S)
        except TimeoutError as error:
            raise NotReadyError(f"{self.name}: {self.log()[-2000:]}") from error

    async def _wait_until_ready(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            await asyncio.sleep(READY_POLL_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it has not ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    def log(self) -> str:
        """Return what the process has logged."""
        path = self._folder / "log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

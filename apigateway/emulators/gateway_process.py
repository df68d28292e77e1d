"""A real gateway in a separate process, with its settings file and its own discovery."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Protocol

from apigateway.emulators.discovery import EmulatedDiscovery
from apigateway.emulators.eureka import EmulatedEureka
from apigateway.emulators.fleet_settings import FleetSettings
from apigateway.emulators.gateway_file import GatewayFile
from apigateway.emulators.ledger import Ledger
from apigateway.emulators.ports import free_port

READY_TIMEOUT_S = 20.0  # until a gateway logs that it listens
READY_LOG_TEXT = " listens on "  # in the log line of a gateway that is ready
SHOWN_LOG_LINES = 5  # of a gateway that failed to start


class Installation(Protocol):
    """The installation that a gateway belongs to."""

    settings: FleetSettings
    folder: Path
    source: str
    poll_s: float
    ledger: Ledger
    registry: EmulatedEureka

    def counter_port(self, gateway: str) -> int:
        """Return the port at which this gateway connects to the counter."""


class Gateway:
    """One gateway's settings file and process.

    Attributes:
        port: The port for RESP2.
        rate_limit_port: The port of the rate limit service.
        log_lines: The lines that the process has logged.
    """

    def __init__(self, installation: Installation, number: int) -> None:
        self._installation = installation
        settings = installation.settings
        self.number = number
        self.name = f"g{number}"
        self.zone = settings.zones[number % len(settings.zones)]
        self.port = free_port()
        self.rate_limit_port = free_port()
        self.discovery = EmulatedDiscovery(self.name, installation.ledger)
        self.settings_file = installation.folder / f"{self.name}.toml"
        self.process: asyncio.subprocess.Process | None = None
        self.log_lines: list[str] = []
        self._log_reader: asyncio.Task[None] | None = None
        self._listens = asyncio.Event()

    def write_settings(self) -> None:
        """Write the settings file; discovery, registry and counter must be open."""
        installation = self._installation
        settings = GatewayFile(
            settings=installation.settings,
            folder=installation.folder,
            name=self.name,
            number=self.number,
            zone=self.zone,
            port=self.port,
            rate_limit_port=self.rate_limit_port,
            source=installation.source,
            discovery_port=self.discovery.port,
            registry_url=installation.registry.url,
            poll_s=installation.poll_s,
            counter_port=installation.counter_port(self.name),
        )
        self.settings_file.write_text(settings.text())

    async def start(self, *arguments: str) -> None:
        """Start the process and wait until it logs that it listens.

        Args:
            *arguments: Further arguments of the command line.

        Raises:
            RuntimeError: If it does not listen in time; with its last log lines.
        """
        self._listens.clear()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "apigateway",
            "serve",
            str(self.settings_file),
            *arguments,
            stderr=asyncio.subprocess.PIPE,
            env=_environment(),
        )
        self._log_reader = asyncio.get_running_loop().create_task(self._read_log(self.process))
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._listens.wait()
                self._installation.ledger.record_gateway_start(self.name)
        except TimeoutError as error:
            last_lines = "\n".join(self.log_lines[-SHOWN_LOG_LINES:])
            raise RuntimeError(f"{self.name} did not listen in time:\n{last_lines}") from error

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log_lines.append(line.decode("utf-8", "replace").rstrip())
            if READY_LOG_TEXT in self.log_lines[-1]:
                self._listens.set()

    async def kill(self) -> None:
        """Kill the process with SIGKILL; its open requests are lost and clients may retry them."""
        assert self.process is not None
        self._installation.ledger.record_gateway_kill(self.name)
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self) -> int:
        """Stop the process with SIGTERM if it runs, and return its exit code."""
        if self.process is None or self.process.returncode is not None:
            return 0
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()


def _environment() -> dict[str, str]:
    """Return this process's environment without a gateway's settings, and with the path of this package."""
    environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
    root = Path(__file__).resolve().parents[2]
    environment["PYTHONPATH"] = os.pathsep.join([str(root), environment.get("PYTHONPATH", "")])
    return environment

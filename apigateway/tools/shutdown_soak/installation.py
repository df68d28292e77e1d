"""Emulated hosts, counter and discovery, and the files and the command of the gateway under test."""

from __future__ import annotations

import copy
import json
import os
import sys
from pathlib import Path
from typing import Self

from apigateway.emulators.counter import EmulatedCounter
from apigateway.emulators.discovery import EmulatedDiscovery
from apigateway.emulators.hosts import EmulatedHost
from apigateway.emulators.ledger import ClassRules, Ledger, RuleLimits
from apigateway.emulators.platform import SETTINGS, make_configuration
from apigateway.emulators.ports import free_port
from apigateway.emulators.script import Step
from apigateway.tools.shutdown_soak.plan import (
    HOST_COUNT,
    HostFault,
    HostFaultKind,
    Program,
    SoakPlan,
)

GATEWAY_NAME = "g"
NANOSECONDS_PER_SECOND = 1e9
DRAIN_GRACE_S = 1.0
DEDUPLICATION_WINDOW_S = 3.0
WORK_S = 0.01  # of a request
HOST_REQUESTS_PER_S = 800
LATENCY_OBJECTIVE_SHARE = 0.5  # of the longest deadline
FINISH_MARGIN_S = 0.4  # of `serve`: after the longest deadline all requests are answered
_IMPORT_ROOT = Path(__file__).resolve().parents[3]

_SERVE_SETTINGS = """
[[listeners]]
address = "127.0.0.1:{port}"
[gateway]
name = "g"
[limits]
sockets = {descriptors}
max_attempts = 3
[rules]
drain_grace = {drain_grace}
[hosts]
source = "discovery"
discovery = "127.0.0.1:{discovery_port}"
reports = ["inflight", "queue", "util"]
[counter]
address = "127.0.0.1:{counter_port}"
[daemon]
state = "{folder}/state"
linger = {linger}
finish = {finish}
log_lines = 1000
[plans.p]
rate = 100000.0
burst = 100000.0
[classes.read]
effect = "safe"
aim = {aim}
deadline = {deadline}
[classes.write]
effect = "keyed"
scope = "cell"
memory = {memory}
aim = {aim}
deadline = {deadline}
[classes.note]
effect = "unsafe"
aim = {aim}
deadline = {deadline}
"""
SERVE_LINGER_S = 0.5  # the default; longer than new connections go on coming


def rule_limits() -> RuleLimits:
    """Return the limits of the rules that hold in a run."""
    classes = {
        "read": ClassRules("safe"),
        "write": ClassRules("keyed", "cell", DEDUPLICATION_WINDOW_S),
        "note": ClassRules("unsafe"),
    }
    return RuleLimits(classes, drain_grace_s=DRAIN_GRACE_S)


class Installation:
    """What the gateway of one run talks to, with its configuration.

    Each reload moves the gateway to the other one of two discovery services, which have the same list.
    """

    def __init__(self, plan: SoakPlan, folder: Path, work_s: float = WORK_S) -> None:
        self.plan = plan
        self.ledger = Ledger(rule_limits())
        self.hosts = [
            EmulatedHost(
                name=f"h{number}",
                cell=number,
                work=lambda _: work_s,
                cores=round(HOST_REQUESTS_PER_S * work_s),
                ledger=self.ledger,
            )
            for number in range(HOST_COUNT)
        ]
        self.counter = EmulatedCounter()
        self.discoveries = [EmulatedDiscovery(GATEWAY_NAME, self.ledger) for _ in range(2)]
        self.port = free_port()
        self.file = folder / ("config.json" if plan.program == Program.PLATFORM else "gateway.toml")
        self._folder = folder
        self._reload_count = 0

    async def __aenter__(self) -> Self:
        for server in (*self.hosts, self.counter):
            await server.open()
        for discovery in self.discoveries:
            discovery.servers = [host.entry() for host in self.hosts]
            await discovery.__aenter__()
        self.write_configuration()
        return self

    async def __aexit__(self, *_: object) -> None:
        for server in (*self.hosts, self.counter):
            await server.__aexit__()
        for discovery in self.discoveries:
            await discovery.__aexit__()

    # The gateway's configuration and process

    def write_configuration(self) -> None:
        """Write the file, which names the other discovery service after each reload."""
        discovery_port = self.discoveries[self._reload_count % 2].port
        if self.plan.program == Program.PLATFORM:
            text = json.dumps(self._platform_configuration(discovery_port))
        else:
            text = self._serve_settings(discovery_port)
        new_file = self.file.with_suffix(".new")
        new_file.write_text(text)
        new_file.replace(self.file)

    def prepare_reload(self) -> None:
        """Write a changed configuration for the next SIGHUP."""
        self._reload_count += 1
        self.write_configuration()

    def _platform_configuration(self, discovery_port: int) -> dict[str, object]:
        settings = copy.deepcopy(SETTINGS)
        deadline_s = self.plan.longest_deadline_s
        for service in settings["services"]:
            service["deadline"] = int(deadline_s * NANOSECONDS_PER_SECOND)
            service["slo"] = int(deadline_s * LATENCY_OBJECTIVE_SHARE * NANOSECONDS_PER_SECOND)
        settings["plans"][0] |= {"rate": 100_000.0, "most_at_once": 100_000.0}
        entries = [host.entry() for host in self.hosts]
        configuration = make_configuration(entries, discovery_port, self.counter.port, settings)
        configuration["listen"] = f"127.0.0.1:{self.port}"
        configuration["limits"]["sockets"] = self.plan.descriptors
        return configuration

    def _serve_settings(self, discovery_port: int) -> str:
        deadline_s = self.plan.longest_deadline_s
        return _SERVE_SETTINGS.format(
            port=self.port,
            descriptors=self.plan.descriptors,
            drain_grace=DRAIN_GRACE_S,
            discovery_port=discovery_port,
            counter_port=self.counter.port,
            folder=self._folder,
            linger=SERVE_LINGER_S,
            finish=deadline_s + FINISH_MARGIN_S,
            aim=deadline_s * LATENCY_OBJECTIVE_SHARE,
            deadline=deadline_s,
            memory=DEDUPLICATION_WINDOW_S,
        )

    def command(self) -> list[str]:
        """Return the command that starts the gateway."""
        if self.plan.program == Program.PLATFORM:
            return [sys.executable, "-m", "apigateway.daemon"]
        return [sys.executable, "-m", "apigateway", "serve", str(self.file)]

    def environment(self) -> dict[str, str]:
        """Return the gateway's environment variables."""
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        environment["PYTHONPATH"] = os.pathsep.join([str(_IMPORT_ROOT), environment.get("PYTHONPATH", "")])
        if self.plan.program == Program.PLATFORM:
            environment["RELAY_CONFIG"] = str(self.file)
        return environment

    # Faults

    def begin_fault(self, fault: HostFault) -> None:
        """Begin a fault of a host; a draining host stays draining."""
        host = self.hosts[fault.host]
        if fault.kind == HostFaultKind.DRAIN:
            for discovery in self.discoveries:
                discovery.apply_changes([host.entry("draining")])
        else:
            step = Step(fault.kind, duration_s=fault.lasts_s, delay_s=fault.delay_s)
            host.script.set_steps(step)

    def silence_counter(self) -> None:
        """Let the counter answer no more calls."""
        self.counter.script.set_steps(Step("silent"))

    def silence_watches(self) -> None:
        """Leave the open watches without an answer."""
        for discovery in self.discoveries:
            discovery.silence_watches()

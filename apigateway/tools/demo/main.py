"""Runs the demo with the given options, prints its results and returns the exit code."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from dataclasses import dataclass, replace
from pathlib import Path

import uvloop
from rich.console import Console

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.status_query import query_gateway
from apigateway.emulators.fleet import Fleet
from apigateway.exit_codes import ExitCode
from apigateway.tools.demo.installation import FLEET_SETTINGS, GRPC_CLASS, read_plugin_settings
from apigateway.tools.demo.session import DemoSession
from apigateway.tools.demo.tables import checks_table, outcomes_table, plugins_table, verdicts_table

_RECORDS_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """The command's arguments.

    Attributes:
        seconds: Duration of the traffic.
        seed: Seed of the traffic.
        keep: Whether to keep the installation running after the traffic, until Ctrl-C.
        source: Source of the endpoint list, `discovery` or `eureka`.
        plugins: Files or folders of plug-ins.
        use_grpc: Whether to send half of the requests through the rate limit service.
    """

    seconds: float
    seed: int
    keep: bool
    source: str
    plugins: list[str]
    use_grpc: bool


def main(options: DemoOptions) -> int:
    """Run the demo; return the exit code."""
    console = Console()
    try:
        read_plugin_settings(options.plugins)
    except (InvalidConfigFileError, OSError) as error:
        console.print(f"api-gateway: {error}", soft_wrap=True)
        return ExitCode.INVALID_INPUT
    with tempfile.TemporaryDirectory(prefix="apigateway-") as folder:
        return int(uvloop.run(_run(options, console, Path(folder))))


async def _run(options: DemoOptions, console: Console, folder: Path) -> int:
    source = "a Eureka registry" if options.source == "eureka" else options.source
    console.print(
        f"{FLEET_SETTINGS.gateways} gateways, {FLEET_SETTINGS.hosts} hosts in zones "
        f"{', '.join(FLEET_SETTINGS.zones)}, a counter, {source}; {options.seconds:.0f} s of traffic"
    )
    settings = FLEET_SETTINGS
    if options.plugins:
        settings = replace(settings, plugins_toml=read_plugin_settings(options.plugins))
    if options.use_grpc:
        settings = replace(settings, check_class=GRPC_CLASS)
    async with Fleet(settings, folder, source=options.source) as fleet:
        session = DemoSession(fleet, options.seconds, options.seed, console)
        if options.use_grpc:
            session.send_half_as_checks()
        verdicts = await session.run()
        if console.is_terminal:  # otherwise each note was printed when its event happened
            for note in session.notes:
                console.print(note)
        console.print(outcomes_table(fleet.ledger, session.traffic.latencies_s), verdicts_table(verdicts))
        if session.checks is not None:
            checks = session.checks
            console.print(
                checks_table(
                    fleet.ledger, checks.outcome_counts, checks.latencies_s, session.checking_customers
                )
            )
            await checks.close()
        if options.plugins:
            await _wait_until_records_are_written(fleet)
            console.print(plugins_table(fleet.folder))
        if options.keep:
            await _keep_running(fleet, console)
    return ExitCode.OK if all(verdict.kept for verdict in verdicts) else ExitCode.FAILED


async def _wait_until_records_are_written(fleet: Fleet) -> None:
    """Wait until all gateways have written their records to disk."""
    for gateway in fleet.gateways:
        socket = str(fleet.folder / gateway.name / "handover")
        while True:
            status = await query_gateway(socket, "plugins")
            if not status["records"] or not status["records"]["waiting"]:
                break
            await asyncio.sleep(_RECORDS_POLL_INTERVAL_S)


async def _keep_running(fleet: Fleet, console: Console) -> None:
    """Print how to send requests to the installation by hand, and wait for Ctrl-C."""
    first = fleet.gateways[0]
    if fleet.settings.check_class:
        console.print(
            "Send a check to the rate limit service: "
            f"api-gateway ratelimit ask 127.0.0.1:{first.rate_limit_port} --domain roster "
            "customer=00000000000000ff plan=basic",
            soft_wrap=True,
        )
    addresses = ", ".join(f"127.0.0.1:{gateway.port}" for gateway in fleet.gateways)
    console.print(
        f"The gateways keep running: {addresses}. Send a request to one:\n"
        f"  redis-cli -p {first.port} API.READ 00000000000000ff request-1 "
        f"c=roster-read,t=basic,d=3000,units=1,spread=3,first=0\n"
        f"Each request needs a unique id. Settings and state: {fleet.folder}. Stop the demo with Ctrl-C.",
        soft_wrap=True,
    )
    hosts_file = fleet.folder / "hosts.toml"
    hosts_file.write_text(_format_hosts(fleet))
    console.print(
        f"To start your own gateways, use the hosts file {hosts_file}, counter.address "
        f"127.0.0.1:{fleet.counter.port} and the registry {fleet.registry.url}.",
        soft_wrap=True,
    )
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()


def _format_hosts(fleet: Fleet) -> str:
    """Return the content of a gateway's hosts file."""
    return "".join(
        f'[[hosts]]\nid = "{host.name}"\naddress = "{host.address}:{host.port}"\nzone = "{host.zone}"\n'
        f"cell = {host.cell}\n"
        for host in fleet.hosts
    )

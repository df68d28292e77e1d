"""Runs the demo: sends traffic, injects faults on a schedule, and shows the outcomes while it runs."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from apigateway.emulators.clients import Client, Customer, Traffic
from apigateway.emulators.fleet import Fleet
from apigateway.emulators.ledger import Verdict
from apigateway.emulators.script import Step
from apigateway.tools.demo.installation import FLEET_SETTINGS, create_customers
from apigateway.tools.demo.tables import OUTCOMES, count_outcomes

if TYPE_CHECKING:
    from apigateway.emulators.checks import CheckClient

_LOOPBACK = "127.0.0.1"
_SILENCE_SHARE = 0.25  # share of the run during which a host is silent
_SILENT_HOST = 1  # index
_DRAINING_HOST = 5  # index
_KILLED_GATEWAY = 2  # index
_LIVE_OUTCOMES = OUTCOMES[:3]  # columns of the live table
_LIVE_ROWS = 12  # seconds shown in the live table


class _Fault(NamedTuple):
    """A fault or recovery that is injected at a point of the run."""

    at_share: float  # point in time, as a share of the run
    text: str
    apply: Callable[[], Awaitable[None]]


class DemoSession:
    """One demo run over a running fleet.

    Attributes:
        traffic: The customers' requests over RESP2.
        checks: The requests through the rate limit service; None: all requests use RESP2.
        checking_customers: The customers that use the rate limit service.
        notes: Descriptions of the injected faults with their times.
    """

    def __init__(self, fleet: Fleet, seconds: float, seed: int, console: Console) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._console = console
        addresses = {gateway.name: (_LOOPBACK, gateway.port) for gateway in fleet.gateways}
        self._client = Client(fleet.ledger, addresses)
        self._outcomes_by_second: list[tuple[int, dict[str, int]]] = []
        self.traffic = Traffic(self._client, create_customers(seed), FLEET_SETTINGS.traffic_classes(), seed)
        self.checks: CheckClient | None = None
        self.checking_customers: list[Customer] = []
        self.notes: list[str] = []

    def send_half_as_checks(self) -> None:
        """Send half of each customer's requests as checks, and spread both halves over all gateways."""
        from apigateway.emulators.checks import CheckClient

        halved = [
            replace(customer, rate=customer.rate / 2, first_gateway=0, gateway_count=FLEET_SETTINGS.gateways)
            for customer in self.traffic.customers
        ]
        self.traffic.customers = halved
        self.checking_customers = halved
        addresses = {gateway.name: (_LOOPBACK, gateway.rate_limit_port) for gateway in self._fleet.gateways}
        self.checks = CheckClient(self._fleet.ledger, addresses)

    async def run(self) -> tuple[Verdict, ...]:
        """Run the traffic and the faults to the end; return the verdicts on the five rules."""
        with contextlib.ExitStack() as stack:
            live = None
            if self._console.is_terminal:
                live = stack.enter_context(Live(console=self._console, transient=True))
            display = asyncio.ensure_future(self._show_progress(live))
            faults = asyncio.ensure_future(self._apply_faults())
            try:
                senders = [self.traffic.run(self._seconds)]
                if self.checks is not None:
                    senders.append(self.checks.run(self.checking_customers, self._seconds))
                await asyncio.gather(*senders)
                await faults
            finally:
                display.cancel()
                faults.cancel()
        self._client.close()
        return self._fleet.ledger.check_rules()

    async def _apply_faults(self) -> None:
        """Make one host silent, drain and restart another, and kill and restart a gateway."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for fault in self._faults():
            await asyncio.sleep(max(0.0, started_at + fault.at_share * self._seconds - loop.time()))
            self._add_note(loop.time() - started_at, fault.text)
            await fault.apply()

    def _faults(self) -> list[_Fault]:
        fleet = self._fleet
        silent = fleet.hosts[_SILENT_HOST]
        draining = fleet.hosts[_DRAINING_HOST]
        gateway = fleet.gateways[_KILLED_GATEWAY]

        async def fall_silent() -> None:
            silent.script.set_steps(Step("silent", duration_s=_SILENCE_SHARE * self._seconds))

        async def drain() -> None:
            fleet.announce((draining, "draining"))

        async def restart() -> None:
            await draining.restart()
            fleet.announce((draining, "up"))

        return [
            _Fault(
                0.15, f"host {silent.name} falls silent: it accepts requests and answers none", fall_silent
            ),
            _Fault(0.30, f"host {draining.name} drains", drain),
            _Fault(0.45, f"gateway {gateway.name} is killed", gateway.kill),
            _Fault(
                0.60, f"gateway {gateway.name} returns with its settings only, without state", gateway.start
            ),
            _Fault(0.65, f"host {draining.name} comes back, cold", restart),
        ]

    def _add_note(self, second: float, text: str) -> None:
        self.notes.append(f"{second:4.1f} s  {text}")
        if not self._console.is_terminal:
            self._console.print(self.notes[-1])

    async def _show_progress(self, live: Live | None) -> None:
        """Show the outcomes of each second: as a table on a terminal, otherwise as one line per second."""
        second = 0
        previous = dict.fromkeys(OUTCOMES, 0)
        while True:
            await asyncio.sleep(1.0)
            second += 1
            totals = count_outcomes(self._fleet.ledger)
            outcomes = {name: totals[name] - previous[name] for name in OUTCOMES}
            previous = totals
            self._outcomes_by_second.append((second, outcomes))
            if live is not None:
                live.update(self._build_live_view())
            else:
                counts = ", ".join(f"{name} {count}" for name, count in outcomes.items() if count)
                self._console.print(f"{second:4d} s  {counts}")

    def _build_live_view(self) -> Group:
        table = Table("second", *_LIVE_OUTCOMES, title="answers per second")
        for second, outcomes in self._outcomes_by_second[-_LIVE_ROWS:]:
            table.add_row(str(second), *(str(outcomes[name]) for name in _LIVE_OUTCOMES))
        return Group(table, *self.notes)

"""One run of the demo: traffic, faults on a schedule, and a table that follows them."""

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
from apigateway.tools.demo.installation import SHAPE, create_customers
from apigateway.tools.demo.tables import OUTCOMES, count_outcomes

if TYPE_CHECKING:
    from apigateway.emulators.checks import CheckClient

_LOOPBACK = "127.0.0.1"
_SILENCE = 0.25  # part of the run for which a host is silent
_SILENT_HOST = 1  # index
_DRAINING_HOST = 5  # index
_KILLED_GATEWAY = 2  # index
_LIVE_OUTCOMES = OUTCOMES[:3]  # shown while it runs
_LIVE_ROWS = 12  # seconds shown while it runs


class _Fault(NamedTuple):
    """Something that happens to the installation, at a part of the run."""

    at: float
    text: str
    apply: Callable[[], Awaitable[None]]


class DemoSession:
    """One run over a fleet that is up.

    Attributes:
        traffic: The customers' requests.
        checks: The requests that come by the rate limit service; None: all come by RESP2.
        checking_customers: Those who send them.
        notes: What happened, and when.
    """

    def __init__(self, fleet: Fleet, seconds: float, seed: int, console: Console) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._console = console
        addresses = {gateway.name: (_LOOPBACK, gateway.port) for gateway in fleet.gateways}
        self._client = Client(fleet.ledger, addresses)
        self._outcomes_by_second: list[tuple[int, dict[str, int]]] = []
        self.traffic = Traffic(self._client, create_customers(seed), SHAPE.traffic_classes(), seed)
        self.checks: CheckClient | None = None
        self.checking_customers: list[Customer] = []
        self.notes: list[str] = []

    def send_half_as_checks(self) -> None:
        """Let half of each customer's requests come as checks, at any of the gateways: all are its own."""
        from apigateway.emulators.checks import CheckClient

        halved = [
            replace(customer, rate=customer.rate / 2, first_gateway=0, gateway_count=SHAPE.gateways)
            for customer in self.traffic.customers
        ]
        self.traffic.customers = halved
        self.checking_customers = halved
        addresses = {gateway.name: (_LOOPBACK, gateway.rate_limit_port) for gateway in self._fleet.gateways}
        self.checks = CheckClient(self._fleet.ledger, addresses)

    async def run(self) -> tuple[Verdict, ...]:
        """Run traffic and faults to their end; return the verdicts on the five rules."""
        with contextlib.ExitStack() as stack:
            live = None
            if self._console.is_terminal:
                live = stack.enter_context(Live(console=self._console, transient=True))
            display = asyncio.ensure_future(self._display(live))
            faults = asyncio.ensure_future(self._apply_faults())
            try:
                sources = [self.traffic.run(self._seconds)]
                if self.checks is not None:
                    sources.append(self.checks.run(self.checking_customers, self._seconds))
                await asyncio.gather(*sources)
                await faults
            finally:
                display.cancel()
                faults.cancel()
        self._client.close()
        return self._fleet.ledger.check_rules()

    async def _apply_faults(self) -> None:
        """Let a host fall silent, one drain and come back cold, a gateway die and return."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for fault in self._faults():
            await asyncio.sleep(max(0.0, started_at + fault.at * self._seconds - loop.time()))
            self._note(loop.time() - started_at, fault.text)
            await fault.apply()

    def _faults(self) -> list[_Fault]:
        fleet = self._fleet
        silent = fleet.hosts[_SILENT_HOST]
        draining = fleet.hosts[_DRAINING_HOST]
        gateway = fleet.gateways[_KILLED_GATEWAY]

        async def fall_silent() -> None:
            silent.script.set_steps(Step("silent", duration_s=_SILENCE * self._seconds))

        async def drain() -> None:
            fleet.announce((draining, "draining"))

        async def come_back() -> None:
            await draining.restart()
            fleet.announce((draining, "up"))

        return [
            _Fault(0.15, f"host {silent.name} falls silent: it takes requests and answers none", fall_silent),
            _Fault(0.30, f"host {draining.name} drains", drain),
            _Fault(0.45, f"gateway {gateway.name} is killed", gateway.kill),
            _Fault(0.60, f"gateway {gateway.name} returns with nothing but its settings", gateway.start),
            _Fault(0.65, f"host {draining.name} comes back, cold", come_back),
        ]

    def _note(self, second: float, text: str) -> None:
        self.notes.append(f"{second:4.1f} s  {text}")
        if not self._console.is_terminal:
            self._console.print(self.notes[-1])

    async def _display(self, live: Live | None) -> None:
        """Show each second's outcomes: as a table on a terminal, else as a line."""
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
                live.update(self._screen())
            else:
                counts = ", ".join(f"{name} {count}" for name, count in outcomes.items() if count)
                self._console.print(f"{second:4d} s  {counts}")

    def _screen(self) -> Group:
        table = Table("second", *_LIVE_OUTCOMES, title="answers a second")
        for second, outcomes in self._outcomes_by_second[-_LIVE_ROWS:]:
            table.add_row(str(second), *(str(outcomes[name]) for name in _LIVE_OUTCOMES))
        return Group(table, *self.notes)

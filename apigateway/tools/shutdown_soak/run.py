"""One run of the soak: start a gateway, play the plan, wait for the gateway's end, and judge."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import tempfile
import time
from dataclasses import dataclass, field, replace
from pathlib import Path

from apigateway.emulators.ledger_records import AnswerKind
from apigateway.emulators.ledger_rules import RULES
from apigateway.emulators.timing.collection_pause import pause_garbage_collection
from apigateway.tools.shutdown_soak.clients import SoakClients
from apigateway.tools.shutdown_soak.installation import GATEWAY_NAME, Installation
from apigateway.tools.shutdown_soak.plan import Pause, PlannedSignal, SignalName, SoakPlan

READY_TIMEOUT_S = 30.0
READY_TEXT = "listens on"
POLL_PERIOD_S = 0.005  # between two looks at a process that starts
TRACEBACK_TEXTS = ("Traceback", "Exception ignored")
# Rules of the ledger that a run can break; it has neither cold hosts nor ceilings.
JUDGED_RULES = RULES[:3]
# Descriptors that a gateway may hold beyond those before a crowd, once the crowd has left: connections to
# hosts and of the other clients come and go.
DESCRIPTOR_SLACK = 60
DESCRIPTOR_RELEASE_TIMEOUT_S = 3.0


@dataclass(slots=True)
class SoakResult:
    """What happened in a run.

    Attributes:
        breaches: Broken rules, a line each; empty if all were kept.
        exit_s: How long after the first signal that ends it the gateway ended.
        log_lines: The gateway's log.
    """

    plan: SoakPlan
    request_count: int = 0
    served_count: int = 0
    breaches: list[str] = field(default_factory=list)
    exit_s: float = 0.0
    log_lines: list[str] = field(default_factory=list)


async def run_plan(plan: SoakPlan) -> SoakResult:
    """Play a plan and return its result.

    A plan that stops a gateway before it listens goes on with another gateway, which gets the load.
    """
    if not plan.early_stop:
        return await _play(plan)
    early_result = await _play(plan)
    result = await _play(replace(plan, early_stop=()))
    result.plan = plan
    result.breaches = [f"before it listened: {breach}" for breach in early_result.breaches] + result.breaches
    result.log_lines = early_result.log_lines + result.log_lines
    return result


async def _play(plan: SoakPlan) -> SoakResult:
    """Play a plan with one gateway."""
    with pause_garbage_collection(), tempfile.TemporaryDirectory() as folder:
        async with Installation(plan, Path(folder)) as installation:
            run = SoakRun(plan, installation)
            await run.play()
            return run.result


class SoakRun:
    """The state of one run."""

    def __init__(self, plan: SoakPlan, installation: Installation) -> None:
        self.plan = plan
        self.installation = installation
        self.result = SoakResult(plan)
        self.process: asyncio.subprocess.Process
        self.clients: SoakClients | None = None
        self._stopped_at: float | None = None  # first signal that ends the gateway
        self._listens = asyncio.Event()

    async def play(self) -> None:
        """Play the plan; the result is complete afterwards."""
        installation = self.installation
        installation.ledger.loop_lag.start()
        self.process = await asyncio.create_subprocess_exec(
            *installation.command(),
            env=installation.environment(),
            stderr=asyncio.subprocess.PIPE,
        )
        await installation.ledger.stalls.start(self.process.pid)
        log_reader = asyncio.get_running_loop().create_task(self._read_log())
        try:
            if self.plan.early_stop:
                await self._wait_until_signals_are_handled()
                await self._send_signals(self.plan.early_stop)
            else:
                await self.play_under_load()
            await self._wait_for_exit()
        finally:
            self._kill()
            await log_reader
            await installation.ledger.stalls.stop()
            if self.clients is not None:
                await self.clients.stop()
            installation.ledger.loop_lag.stop()
        self.judge()

    # Steps

    async def play_under_load(self) -> None:
        """Start the load and its faults, and end the gateway after a time."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self._listens.wait()
        plan = self.plan
        clients = SoakClients(plan, self.installation.port, self.installation.ledger)
        self.clients = clients
        clients.start()
        loop = asyncio.get_running_loop()
        for fault in plan.host_faults:
            loop.call_later(fault.at_s, self.installation.begin_fault, fault)
        if plan.silent_counter_at_s is not None:
            loop.call_later(plan.silent_counter_at_s, self.installation.silence_counter)
        if plan.silent_watches_at_s is not None:
            loop.call_later(plan.silent_watches_at_s, self.installation.silence_watches)
        for pause in plan.pauses:
            clients.run(self._pause(pause))
        if plan.crowd is not None:
            clients.run(self._play_crowd(clients))
        self.begin_disruptions(clients)
        await asyncio.sleep(plan.load_s)
        await self._send_signals(plan.signals)

    def begin_disruptions(self, clients: SoakClients) -> None:
        """Begin what another soak adds; called when the clients have started."""

    async def _pause(self, pause: Pause) -> None:
        """Pause the gateway's process."""
        await asyncio.sleep(pause.at_s)
        paused_at = time.monotonic()
        self._send_if_running(signal.SIGSTOP)
        try:
            await asyncio.sleep(pause.lasts_s)
        finally:  # a paused process would not end
            self._send_if_running(signal.SIGCONT)
            self.installation.ledger.record_gateway_pause(GATEWAY_NAME, paused_at)

    def _send_if_running(self, number: signal.Signals) -> None:
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def _play_crowd(self, clients: SoakClients) -> None:
        crowd = self.plan.crowd
        assert crowd is not None
        await asyncio.sleep(crowd.at_s)
        before = self.descriptor_count()
        await clients.crowd(crowd.size, crowd.lasts_s)
        until = time.monotonic() + DESCRIPTOR_RELEASE_TIMEOUT_S
        while self._stopped_at is None and self.descriptor_count() > before + DESCRIPTOR_SLACK:
            if time.monotonic() > until:
                count = self.descriptor_count()
                self.result.breaches.append(f"{count} descriptors after a crowd, {before} before it")
                return
            await asyncio.sleep(POLL_PERIOD_S)

    async def _send_signals(self, signals: tuple[PlannedSignal, ...]) -> None:
        for planned in signals:
            await asyncio.sleep(planned.after_s)
            if planned.name == SignalName.RELOAD:
                self.installation.prepare_reload()
            elif self._stopped_at is None:
                self._stopped_at = time.monotonic()
                if self.clients is not None:
                    self.clients.stopped_at = self._stopped_at
                    self.clients.run(self.clients.open_newcomers())
            if self.process.returncode is None:
                self.process.send_signal(signal.Signals[planned.name])

    async def _wait_until_signals_are_handled(self) -> None:
        """Wait until the program has replaced Python's own handling, which no program can do earlier."""
        mask = 1 << (signal.SIGTERM - 1)
        status_file = Path(f"/proc/{self.process.pid}/status")
        while self.process.returncode is None:
            for line in status_file.read_text().splitlines():
                if line.startswith("SigCgt:") and int(line.split()[1], 16) & mask:
                    return
            await asyncio.sleep(POLL_PERIOD_S)

    async def _wait_for_exit(self) -> None:
        """Wait for the gateway's end, and kill it as the platform would."""
        assert self._stopped_at is not None
        kill_at = self._stopped_at + self.plan.kill_after_s
        try:
            async with asyncio.timeout(max(0.0, kill_at - time.monotonic())):
                await self.process.wait()
        except TimeoutError:
            self._kill()
            await self.process.wait()

    def _kill(self) -> None:
        if self.process.returncode is None:
            # It may have ended, and this loop not have learned of it.
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.result.log_lines.append(line.decode("utf-8", "replace").rstrip())
            if READY_TEXT in self.result.log_lines[-1]:
                self._listens.set()

    def descriptor_count(self) -> int:
        """Return how many descriptors the gateway holds."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:  # it has ended
            return 0

    # Judgement

    def judge(self) -> None:
        """Add the broken rules to the result."""
        result = self.result
        ledger = self.installation.ledger
        result.request_count = len(ledger.requests)
        result.served_count = sum(
            answer.kind == AnswerKind.SERVED
            for request in ledger.requests.values()
            for answer in request.answers
        )
        self._judge_exit()
        for verdict in ledger.check_rules():
            if verdict.rule in JUDGED_RULES:
                result.breaches += [f"{verdict.rule}: {breach}" for breach in verdict.breaches]
        if self.clients is not None:
            result.breaches += self.clients.breaches
            if not result.served_count:
                result.breaches.append("no request was served")
        tracebacks = [line for line in result.log_lines if any(text in line for text in TRACEBACK_TEXTS)]
        result.breaches += [f"in the log: {line}" for line in tracebacks[:1]]

    def _judge_exit(self) -> None:
        assert self._stopped_at is not None
        result = self.result
        result.exit_s = self.installation.ledger.stalls.ended_at - self._stopped_at
        if self.process.returncode == -signal.SIGKILL:
            result.breaches.append(f"did not end within {self.plan.kill_after_s:.2f} s: killed")
        elif not result.exit_s <= self.plan.kill_after_s:
            result.breaches.append(f"ended only after {result.exit_s:.3f} s, just before it was killed")
        if self.process.returncode != 0:
            result.breaches.append(f"exit code {self.process.returncode}")

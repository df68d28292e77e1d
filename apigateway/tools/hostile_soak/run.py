"""One run of the soak of hostile clients: the run of the soak of shutdowns with abuse beside it."""

from __future__ import annotations

import asyncio
import math
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from apigateway.emulators import hostile_clients, hostile_crowd
from apigateway.emulators.ledger_records import LIMIT_MARGIN_S, AnswerKind
from apigateway.emulators.timing.collection_pause import pause_garbage_collection
from apigateway.tools.hostile_soak.clients import depart_with_pipeline, repeat_requests
from apigateway.tools.hostile_soak.memory import ProcessMonitor
from apigateway.tools.hostile_soak.plan import Abuse, Crowd, HostilePlan, Replacement
from apigateway.tools.shutdown_soak.clients import SoakClients
from apigateway.tools.shutdown_soak.installation import Installation
from apigateway.tools.shutdown_soak.run import SoakResult, SoakRun

ABUSE_PROGRAM = Path(hostile_clients.__file__)
CROWD_PROGRAM = Path(hostile_crowd.__file__)
SAMPLE_INTERVAL_S = 0.02
BASELINE_AFTER_S = 0.4  # after the start of the load, when the memory is that of ordinary service
MEMORY_LIMIT_MIB = 192.0
RETURN_MARGIN_MIB = 16.0
# Beside a crowd that plays scripts.
CROWD_PEAK_MIB = 128.0
CROWD_RETURN_MARGIN_MIB = 24.0
CROWD_FAILED_SHARE = 0.01
UNCOUNTED_TEXT = "uncounted; held"  # of the gateway's log, when it is over 24 MiB
DEADLINE_SLACK_S = 0.15  # by which the time that a host is told may exceed what its client has left


@dataclass(slots=True)
class HostileResult:
    """What happened in a run.

    Attributes:
        baseline_mib: The gateway's memory before the abuse.
        peak_mib: Its most memory.
        rested_mib: Its memory some seconds after the abuse; NaN if the plan has no rest.
        peak_descriptors: The most descriptors that it held.
        slowest_s: The longest time that a judged request waited for its answer.
        failed_count: Judged requests that were answered as failed.
    """

    plan: HostilePlan
    soak: SoakResult
    baseline_mib: float = 0.0
    peak_mib: float = 0.0
    rested_mib: float = math.nan
    peak_descriptors: int = 0
    slowest_s: float = 0.0
    failed_count: int = 0
    breaches: list[str] = field(default_factory=list)


async def run_hostile_plan(plan: HostilePlan) -> HostileResult:
    """Play a plan and return its result."""
    with pause_garbage_collection(), tempfile.TemporaryDirectory() as folder:
        async with Installation(plan.base, Path(folder), plan.work_s) as installation:
            run = HostileRun(plan, installation)
            await run.play()
            return run.hostile_result


class HostileRun(SoakRun):
    """A run of the soak of shutdowns beside abusive clients."""

    def __init__(self, plan: HostilePlan, installation: Installation) -> None:
        super().__init__(plan.base, installation)
        self.hostile_plan = plan
        self.hostile_result = HostileResult(plan, self.result)
        self._monitor: ProcessMonitor | None = None

    def begin_disruptions(self, clients: SoakClients) -> None:
        """Start the abusive clients and the samples of the gateway's memory."""
        plan = self.hostile_plan
        self._monitor = ProcessMonitor(self.process.pid)
        clients.run(self._sample(self._monitor))
        for abuse in plan.abuses:
            clients.run(self._play_abuse(abuse))
        for number, crowd in enumerate(plan.crowds):
            clients.run(self._play_scripts(crowd, f"{self.plan.seed}/{number}"))
        for replacement in plan.replacements:
            clients.run(self._replace_host(replacement))
        for _ in range(plan.repeating_clients):
            clients.run(repeat_requests(clients, self.installation.ledger))
        for _ in range(plan.departing_pipeliners):
            clients.run(depart_with_pipeline(clients))

    async def _play_abuse(self, abuse: Abuse) -> None:
        await asyncio.sleep(abuse.at_s)
        await self._run_program(ABUSE_PROGRAM, abuse.kind, str(abuse.connections), str(abuse.lasts_s))

    async def _play_scripts(self, crowd: Crowd, seed: str) -> None:
        await asyncio.sleep(crowd.at_s)
        script = [crowd.script] if crowd.script else []
        await self._run_program(CROWD_PROGRAM, seed, str(crowd.connections), str(crowd.lasts_s), *script)

    async def _run_program(self, program: Path, *arguments: str) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-I", "-S", str(program), str(self.installation.port), *arguments
        )
        try:
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def _replace_host(self, replacement: Replacement) -> None:
        """Start a new process at a host's address, and tell discovery of it."""
        await asyncio.sleep(replacement.at_s)
        installation = self.installation
        host = installation.hosts[replacement.host]
        changes = []
        if replacement.has_new_id:
            changes.append(host.entry("removed"))
            host.name = f"{host.name}n"
        await host.restart(replacement.down_s)
        changes.append(host.entry())
        await asyncio.sleep(replacement.told_after_s)
        for discovery in installation.discoveries:
            discovery.apply_changes(changes)

    async def _sample(self, monitor: ProcessMonitor) -> None:
        result = self.hostile_result
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        plan = self.hostile_plan
        judged_at_s = plan.abused_until_s + plan.rest_s
        while size_mib := monitor.sample():
            elapsed = loop.time() - started_at
            if elapsed < BASELINE_AFTER_S:
                result.baseline_mib = max(result.baseline_mib, size_mib)
            if plan.has_rest and elapsed < judged_at_s:
                result.rested_mib = size_mib
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    # Judgement

    def judge(self) -> None:
        """Add the broken rules to the result, those of the soak of shutdowns among them."""
        super().judge()
        result = self.hostile_result
        assert self._monitor is not None
        result.peak_mib = self._monitor.peak_mib
        result.peak_descriptors = self._monitor.peak_descriptors
        result.slowest_s = self._slowest_s()
        result.breaches += self.result.breaches
        result.failed_count = self._failed_count()
        result.breaches += self._judge_size()
        result.breaches += self._judge_failed()
        result.breaches += self._find_overlong_timeouts()

    def _judge_size(self) -> list[str]:
        result = self.hostile_result
        has_crowd = bool(self.hostile_plan.crowds)
        peak_limit_mib = CROWD_PEAK_MIB if has_crowd else MEMORY_LIMIT_MIB
        return_margin_mib = CROWD_RETURN_MARGIN_MIB if has_crowd else RETURN_MARGIN_MIB
        breaches = []
        if result.peak_mib >= peak_limit_mib:
            breaches.append(f"memory: {result.peak_mib:.0f} MiB, limit {peak_limit_mib:.0f}")
        if result.rested_mib > result.baseline_mib + return_margin_mib:
            breaches.append(
                f"memory: {result.rested_mib:.0f} MiB {self.hostile_plan.rest_s:g} s after the abuse, "
                f"{result.baseline_mib:.0f} before it"
            )
        if has_crowd:
            uncounted = [line for line in result.soak.log_lines if UNCOUNTED_TEXT in line]
            breaches += [f"memory that the account does not count: {line}" for line in uncounted[:1]]
        if result.peak_descriptors > self.plan.descriptors:
            breaches.append(f"{result.peak_descriptors} descriptors, limit {self.plan.descriptors}")
        return breaches

    def _judge_failed(self) -> list[str]:
        """Beside a crowd nearly all judged requests are answered; hosts' faults may fail some else."""
        result = self.hostile_result
        plan = self.hostile_plan
        may_fail = result.soak.request_count * CROWD_FAILED_SHARE
        if not plan.crowds or plan.base.host_faults or result.failed_count <= may_fail:
            return []
        return [f"{result.failed_count} of {result.soak.request_count} requests failed beside a crowd"]

    def _failed_count(self) -> int:
        requests = self.installation.ledger.requests.values()
        return sum(answer.kind == AnswerKind.FAILED for request in requests for answer in request.answers)

    def _slowest_s(self) -> float:
        return max(
            (
                answer.at - answer.waited_s - request.sent_at
                for request in self.installation.ledger.requests.values()
                for answer in request.answers
            ),
            default=0.0,
        )

    def _find_overlong_timeouts(self) -> list[str]:
        """Find attempts whose host was told a later deadline than the client's, beyond the slack."""
        breaches = []
        ledger = self.installation.ledger
        for attempt in ledger.attempts:
            request = ledger.requests.get(attempt.id)
            if request is None or request.repeat_count:
                continue
            excess_s = attempt.first_byte_at + attempt.told_timeout_s - request.sent_at - request.timeout_s
            if excess_s > DEADLINE_SLACK_S + LIMIT_MARGIN_S:
                breaches.append(f"{attempt.name}: {attempt.host} was told {excess_s:.3f} s too much")
        return breaches

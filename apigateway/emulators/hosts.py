"""An emulated host that answers RESP2 commands, with work, cold starts and scripted faults."""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

import hiredis

from apigateway.emulators.ledger import Ledger
from apigateway.emulators.ledger_records import AttemptEnd
from apigateway.emulators.listener import Listener
from apigateway.emulators.pending_answers import OnAttemptEnd, PendingAnswer, PendingAnswers
from apigateway.emulators.resp import BUSY, ERROR, MALFORMED, PONG, VALUE, Command, bulk, fields
from apigateway.emulators.script import Script, Step, StepKind
from apigateway.emulators.timing.timestamped_socket import last_data_at

__all__ = ["BUSY", "ERROR", "MALFORMED", "VALUE", "Answer", "Command", "EmulatedHost", "bulk", "fields"]

READ_BYTES = 65536
HEALTH_CHECK = "probe"  # the end of a health check, which the ledger does not record
TRUNCATED_BYTES = 5  # missing at the end of a truncated answer

Answer = bytes | None | Callable[[], bytes | None]


MILLISECONDS_PER_SECOND = 1000


class Arrival(NamedTuple):
    """When a command arrived at the host's socket, by `time.monotonic`."""

    first_byte_at: float
    last_byte_at: float


class QueuedWork(NamedTuple):
    """A command that waits for a core."""

    seconds: float  # of work, for one core at full capacity
    answer: PendingAnswer
    command: Command


class TakenReport(NamedTuple):
    """A load report, with the time at which it was taken."""

    at: float
    text: bytes


class MadeAnswer(NamedTuple):
    """An answer, and the value in it, which is unique to its request."""

    reply: bytes
    value: bytes


class EmulatedHost(Listener):
    """Answers each command by its script.

    Where the script says `answer`, it sends `answer` or what that returns: None sends nothing, and b""
    closes the connection. With `work`, which returns a command's seconds of one core at full capacity, it
    executes `cores` commands at once, queues up to `queue_capacity` more, and is cold after `restart`. Its
    answers then name the request and contain a load report, and the ledger records them.

    Attributes:
        commands: All commands so far.
        arrivals: Each command as it arrives; None at a connection's end.
        running: The number of commands that are being executed.
        queued: The commands that wait for a core.
        started_at: The Unix time of the last start; 0 means long ago.
        draining: While set, commands are rejected.
        reports_idle: While set, its load reports say that it is idle.
        report_age_s: The age of its load reports.
    """

    def __init__(
        self,
        answer: Answer = VALUE,
        *,
        name: str = "h1",
        zone: str = "a",
        cell: int = 0,
        script: Script | None = None,
        work: Callable[[Command], float] | None = None,
        cores: int = 2,
        queue_capacity: int = 32,
        cold_share: float = 0.2,
        cold_time: float = 10.0,
        ledger: Ledger | None = None,
        address: str = "127.0.0.1",
    ) -> None:
        super().__init__(address)
        self.answer = answer
        self.name = name
        self.zone = zone
        self.cell = cell
        self.script = script or Script()
        self.work = work
        self.cores = cores
        self.queue_capacity = queue_capacity
        self.cold_share = cold_share
        self.cold_time = cold_time
        self.ledger = ledger
        self.commands: list[Any] = []
        self.arrivals: asyncio.Queue[Any] = asyncio.Queue()
        self.connections = 0
        self.running = 0
        self.queued: deque[QueuedWork] = deque()
        self.started_at = 0.0
        self.draining = False
        self.reports_idle = False
        self.report_age_s = 0.0
        self._reports: deque[TakenReport] = deque()  # the reports of the last `report_age_s`
        self._incarnation = 0  # work of earlier incarnations is discarded

    def entry(self, state: str = "up") -> dict[str, Any]:
        """Return this host's entry in discovery."""
        return {
            "id": self.name,
            "addr": f"{self.address}:{self.port}",
            "zone": self.zone,
            "kind": "std",
            "cell": self.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": int(self.started_at * 1000),
        }

    def warm_share(self) -> float:
        """Return the share of its capacity that the host has reached since its start."""
        age = time.time() - self.started_at
        if not self.started_at or age >= self.cold_time:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.cold_time

    async def restart(self, down_s: float = 0.0) -> None:
        """Stop as if killed, and start cold and empty at the same address after `down_s`."""
        await self.kill()
        self._incarnation += 1
        self.running = 0
        self.queued.clear()
        await asyncio.sleep(down_s)
        self.started_at = time.time()
        self.draining = False
        if self.ledger is not None:
            self.ledger.record_cold_start(self.name, self.cores, self.cold_share, self.cold_time)
        await self.open()

    # Commands

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle the commands of one connection until it ends."""
        parser = hiredis.Reader(notEnoughData=...)
        answers = PendingAnswers(writer)
        self.connections += 1
        first_byte_at = 0.0  # of the command being received; 0 if there is none
        sock = writer.get_extra_info("socket")
        try:
            while data := await reader.read(READ_BYTES):
                # The loop may read late, so the time is that of the socket.
                arrived_at = last_data_at(sock)
                first_byte_at = first_byte_at or arrived_at
                parser.feed(data)
                while (command := parser.gets()) is not ...:
                    self.commands.append(command)
                    self.arrivals.put_nowait(command)
                    if not self._handle_command(command, answers, Arrival(first_byte_at, arrived_at)):
                        return
                    first_byte_at = 0.0
        finally:
            answers.connection_closed()
            self.connections -= 1
            self.arrivals.put_nowait(None)

    def _handle_command(self, command: Any, answers: PendingAnswers, arrival: Arrival) -> bool:
        """Handle a command; return False if the connection must be closed."""
        answer = PendingAnswer(answers, self._record_attempt(command, arrival))
        if command == [b"PING"]:
            answer.write(PONG, HEALTH_CHECK)
            return True
        if command == [b"INFO", b"load"] and self.work is not None:
            answer.write(bulk(self.load_report()), HEALTH_CHECK)
            return True
        step = self.script.next(time.monotonic())
        if step.kind == StepKind.SILENT:
            return True
        if step.kind == StepKind.RESET:
            answers.writer.transport.abort()
            return False
        return self._answer(answer, command, step)

    def _record_attempt(self, command: Any, arrival: Arrival) -> OnAttemptEnd:
        """Record an attempt in the ledger, and return the function that records its end."""
        if self.ledger is None or not isinstance(command, list) or not command[0].startswith(b"API."):
            return _ignore_end
        number = self.ledger.record_attempt(
            self.name,
            command[2].decode(),
            fields(command).get("c", ""),
            self.cell,
            self.zone,
            arrival.first_byte_at,
            self.work(command) if self.work else 0.0,
            arrival.last_byte_at,
            int(fields(command).get("d", 0)) / MILLISECONDS_PER_SECOND,
        )
        return partial(self.ledger.record_attempt_end, number)

    def _answer(self, answer: PendingAnswer, command: Command, step: Step) -> bool:
        """Answer a command as the script's step says; return False if the connection must be closed."""
        if self.draining:
            answer.write(BUSY, AttemptEnd.BUSY)
            return True
        match step.kind:
            case StepKind.BUSY:
                answer.write(BUSY, AttemptEnd.BUSY)
            case StepKind.ERROR:
                answer.write(ERROR, AttemptEnd.ERROR)
            case StepKind.MALFORMED:
                answer.write(MALFORMED, AttemptEnd.MALFORMED)
            case StepKind.TRUNCATED:
                answer.write(
                    self._make_answer(command).reply[:-TRUNCATED_BYTES], AttemptEnd.TRUNCATED, is_last=True
                )
            case StepKind.STALL:
                loop = asyncio.get_running_loop()
                loop.call_later(step.delay_s, self._finish, answer, command, self._incarnation)
            case _ if self.work is not None:
                self._enqueue(answer, command, self.work, step.work_factor)
            case _:
                return self._answer_at_once(answer)
        return True

    def _answer_at_once(self, answer: PendingAnswer) -> bool:
        """Answer without work; return False if the connection must be closed."""
        reply = self._configured_reply()
        if reply == b"":
            return False
        if reply is not None:
            answer.write(reply, AttemptEnd.ANSWERED)
        return True

    def _configured_reply(self) -> bytes | None:
        return self.answer() if callable(self.answer) else self.answer

    def _make_answer(self, command: Command) -> MadeAnswer:
        if self.work is None:
            return MadeAnswer(self._configured_reply() or VALUE, b"")
        value = b"%s:%s" % (self.name.encode(), command[2])
        return MadeAnswer(b"*3\r\n%s$-1\r\n%s" % (bulk(value), bulk(self.load_report())), value)

    def load_report(self) -> bytes:
        """Return the load report to send now."""
        now = time.monotonic()
        running = 0 if self.reports_idle else self.running
        waiting = 0 if self.reports_idle else len(self.queued)
        text = b"active=%d,waiting=%d,cpu=%.2f" % (running + waiting, waiting, running / self.cores)
        if not self.report_age_s:
            return text
        self._reports.append(TakenReport(now, text))
        while len(self._reports) > 1 and self._reports[1].at <= now - self.report_age_s:
            self._reports.popleft()
        return self._reports[0].text

    # Work

    def _enqueue(
        self, answer: PendingAnswer, command: Command, work: Callable[[Command], float], factor: float
    ) -> None:
        """Queue a command's work, multiplied by `factor`, or reject the command if the queue is full."""
        if self.running >= self.cores and len(self.queued) >= self.queue_capacity:
            answer.write(BUSY, AttemptEnd.BUSY)
            return
        self.queued.append(QueuedWork(work(command) * factor, answer, command))
        self._start_work()

    def _start_work(self) -> None:
        """Start queued work on free cores."""
        while self.queued and self.running < self.cores:
            work = self.queued.popleft()
            # The client has disconnected. Its queued work is dropped; work that runs already continues.
            if work.answer.is_over:
                continue
            self.running += 1
            delay = work.seconds / self.warm_share()
            asyncio.get_running_loop().call_later(
                delay, self._complete, work.answer, work.command, self._incarnation
            )

    def _complete(self, answer: PendingAnswer, command: Command, incarnation: int) -> None:
        """Answer a command, and free its core."""
        if incarnation == self._incarnation:
            self.running -= 1
            self._finish(answer, command, incarnation)
            self._start_work()

    def _finish(self, answer: PendingAnswer, command: Command, incarnation: int) -> None:
        if incarnation == self._incarnation and not answer.is_over:
            made_answer = self._make_answer(command)
            answer.write(made_answer.reply, AttemptEnd.ANSWERED, made_answer.value)


def _ignore_end(end_kind: str, value: bytes, ended_at: float = math.nan) -> None:
    """Ignore the end of a command that the ledger does not record."""

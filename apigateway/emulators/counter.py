"""An emulated quota counter: totals by name, each with a lifetime, over the platform's line protocol."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from apigateway.emulators.listener import Listener
from apigateway.emulators.script import Script, StepKind

MAX_LIFETIME_S = 60.0
ADD_VERB = b"incr"
ADD_WORDS = 4  # verb, name, amount, lifetime in ms
TRUNCATED_BYTES = 2  # length of a truncated answer


class HeldAnswer(NamedTuple):
    """An answer that has not been sent yet."""

    writer: asyncio.StreamWriter
    answer: bytes


class EmulatedCounter(Listener):
    """Adds amounts and answers with the total.

    The script's steps act as follows. SILENT adds and holds the answer back until `send_held_answers`. STALL
    and SLOW add and answer late. BUSY and ERROR add nothing. RESET adds and resets the connection. MALFORMED
    adds and answers with an invalid total. TRUNCATED adds and closes the connection within the answer.

    Attributes:
        calls: The words of all calls.
        expires_at: When each name is forgotten.
        silent: While set, calls are added but not answered until `send_held_answers`.
        held_answers: The answers that are held back.
        arrivals: Each call as it arrives.
    """

    def __init__(self, address: str = "127.0.0.1", script: Script | None = None) -> None:
        super().__init__(address)
        self.script = script or Script()
        self.calls: list[list[bytes]] = []
        self.totals: dict[bytes, float] = {}
        self.expires_at: dict[bytes, float] = {}
        self.silent = False
        self.held_answers: list[HeldAnswer] = []
        self.arrivals: asyncio.Queue[list[bytes]] = asyncio.Queue()

    async def restart(self, down_s: float = 0.0) -> None:
        """Stop as if killed, and start empty at the same address after `down_s`."""
        await self.kill()
        self.totals = {}
        self.expires_at = {}
        self.held_answers = []
        await asyncio.sleep(down_s)
        await self.open()

    def add(self, name: bytes, amount: float, lifetime_s: float) -> float:
        """Add to a name and return its total; the name is forgotten `lifetime_s` after its first use."""
        now = time.monotonic()
        if self.expires_at.get(name, now) < now:
            del self.totals[name]
        if name not in self.totals:
            self.expires_at[name] = now + min(MAX_LIFETIME_S, lifetime_s)
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return self.totals[name]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle the calls of one connection until it ends."""
        while line := await reader.readline():
            words = line.split()
            if words == [b"ping"]:
                writer.write(b"pong\r\n")
            elif len(words) != ADD_WORDS or words[0] != ADD_VERB:
                writer.write(b"error\r\n")
            elif not self._handle_call(words, writer):
                return

    def _handle_call(self, words: list[bytes], writer: asyncio.StreamWriter) -> bool:
        """Handle a call; return False if the connection must be closed."""
        self.calls.append(words)
        self.arrivals.put_nowait(words)
        step = self.script.next(time.monotonic())
        if step.kind in (StepKind.BUSY, StepKind.ERROR):
            writer.write(step.kind.encode() + b"\r\n")
            return True
        _, name, amount, lifetime_ms = words
        answer = b"ok %.7g\r\n" % self.add(name, float(amount), float(lifetime_ms) / 1000)
        if self.silent:
            self.held_answers.append(HeldAnswer(writer, answer))
            return True
        match step.kind:
            case StepKind.SILENT:
                self.held_answers.append(HeldAnswer(writer, answer))
            case StepKind.RESET:
                writer.transport.abort()
                return False
            case StepKind.MALFORMED:
                writer.write(b"ok {}\r\n")
            case StepKind.TRUNCATED:
                writer.write(answer[:TRUNCATED_BYTES])
                return False
            case StepKind.STALL | StepKind.SLOW:
                asyncio.get_running_loop().call_later(step.delay_s, _write_late, writer, answer)
            case _:
                writer.write(answer)
        return True

    def send_held_answers(self) -> None:
        """Send the answers that were held back."""
        for held in self.held_answers:
            held.writer.write(held.answer)
        self.held_answers = []


def _write_late(writer: asyncio.StreamWriter, answer: bytes) -> None:
    if not writer.is_closing():
        writer.write(answer)

"""A stand-in counter: named totals with a life, by the platform's protocol of lines."""

from __future__ import annotations

import asyncio
import time

from apigateway.emulators.listener import Listener
from apigateway.emulators.script import Script

MOST_LIFE = 60.0  # s


class StandInCounter(Listener):
    """Adds and tells the total. `silent` leaves calls unanswered (but added) until `answer_all`.

    Script: silent and stall are added and answered never or late; busy and error add nothing; reset breaks
    off after adding; spoilt is added and answered with what is no total; half breaks off within the
    answer."""

    def __init__(self, address: str = "127.0.0.1", script: Script | None = None) -> None:
        super().__init__(address)
        self.calls: list[list[bytes]] = []
        self.totals: dict[bytes, float] = {}
        self.ends: dict[bytes, float] = {}  # when a name is forgotten
        self.silent, self.script = False, script or Script()
        self.held: list[tuple[asyncio.StreamWriter, bytes]] = []
        self.arrived: asyncio.Queue[list[bytes]] = asyncio.Queue()

    async def restart(self, down: float = 0.0) -> None:
        """Dies, and comes back empty at its address."""
        await self.die()
        self.totals, self.ends, self.held = {}, {}, []
        await asyncio.sleep(down)
        await self.open()

    def add(self, name: bytes, amount: float, life: float) -> float:
        now = time.monotonic()
        if self.ends.get(name, now) < now:
            del self.totals[name]
        if name not in self.totals:
            self.ends[name] = now + min(MOST_LIFE, life)
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return self.totals[name]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            words = line.split()
            if words == [b"ping"]:
                writer.write(b"pong\r\n")
                continue
            if len(words) != 4 or words[0] != b"incr":
                writer.write(b"error\r\n")
                continue
            self.calls.append(words)
            self.arrived.put_nowait(words)
            step = self.script.next(time.monotonic())
            if step.kind in ("busy", "error"):
                writer.write(step.kind.encode() + b"\r\n")
                continue
            answer = b"ok %.7g\r\n" % self.add(words[1], float(words[2]), float(words[3]) / 1000)
            if self.silent or step.kind == "silent":
                self.held.append((writer, answer))
            elif step.kind == "reset":
                writer.transport.abort()
                return
            elif step.kind == "spoilt":
                writer.write(b"ok {}\r\n")
            elif step.kind == "half":
                writer.write(answer[:2])
                return
            elif step.kind in ("stall", "slow"):
                asyncio.get_running_loop().call_later(step.delay, self.late, writer, answer)
            else:
                writer.write(answer)

    @staticmethod
    def late(writer: asyncio.StreamWriter, answer: bytes) -> None:
        if not writer.is_closing():
            writer.write(answer)

    def answer_all(self) -> None:
        for writer, answer in self.held:
            writer.write(answer)
        self.held = []

"""Stand-ins for the platform: clients, hosts, discovery, the counter and a proxy; and the start of gateways.

Standard library only. Every address is a loopback address. Times are those of `time.monotonic`, in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
MS = 1_000_000  # nanoseconds, the unit of the settings
READY_TIMEOUT_S = 30.0
ADD_WORDS = 4  # of a call to the counter: verb, name, amount, life
BODY_PART = 4  # index of the body in a command

logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # writes to connections that have just ended


def free_port(address: str = "127.0.0.1") -> int:
    """Return a port that is free at this moment."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return int(sock.getsockname()[1])


def no_delay(writer: asyncio.StreamWriter) -> None:
    """Send small writes at once."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line with the seconds since the start of the run."""
        seconds = (time.monotonic() if at is None else at) - self.started_at
        self._file.write(f"{seconds:9.4f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class RespError(Exception):
    """Bytes that are not RESP2."""


class RespReader:
    """Splits the bytes of a connection into RESP2 messages; `...` stands for an incomplete one."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.buffer += data

    def next(self) -> Any:
        """Return the next message, or `...`; an error line is an Exception."""
        value, end = self._parse(0)
        if value is not ...:
            del self.buffer[:end]
        return value

    def _parse(self, start: int) -> tuple[Any, int]:
        line_end = self.buffer.find(b"\r\n", start)
        if line_end < 0:
            return ..., start
        kind, text = self.buffer[start : start + 1], bytes(self.buffer[start + 1 : line_end])
        after = line_end + 2
        if kind == b"+":
            return text, after
        if kind == b"-":
            return Exception(text.decode()), after
        if kind == b":":
            return int(text), after
        if kind == b"$":
            return self._parse_string(int(text), after)
        if kind == b"*":
            return self._parse_array(int(text), after)
        raise RespError(f"unknown type {bytes(kind)!r}")

    def _parse_string(self, length: int, start: int) -> tuple[Any, int]:
        if length < 0:
            return None, start
        if len(self.buffer) < start + length + 2:
            return ..., start
        return bytes(self.buffer[start : start + length]), start + length + 2

    def _parse_array(self, length: int, start: int) -> tuple[Any, int]:
        if length < 0:
            return None, start
        items = []
        for _ in range(length):
            item, start = self._parse(start)
            if item is ...:
                return ..., start
            items.append(item)
        return items, start


def bulk(data: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


def command(*parts: bytes) -> bytes:
    """Encode a command."""
    return b"*%d\r\n%s" % (len(parts), b"".join(bulk(part) for part in parts))


class Server:
    """A listener on loopback that can be ended like a killed process and opened again at its address."""

    def __init__(self, address: str = "127.0.0.1") -> None:
        self.address = address
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._on_connection, self.address, self.port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    async def kill(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        no_delay(writer)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, RespError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Attempt:
    """A command that came whole to a host."""

    def __init__(self, host: Host, parts: list[bytes], first_byte_at: float, at: float) -> None:
        self.host = host
        self.verb = parts[0].decode()
        self.customer = parts[1].decode()
        self.request_id = parts[2].decode()
        self.fields = dict(field.split("=", 1) for field in parts[3].decode().split(","))
        self.body = parts[BODY_PART] if len(parts) > BODY_PART else b""
        self.first_byte_at = first_byte_at
        self.at = at
        self.ended_at: float | None = None  # answer written or connection ended
        self.ran_at: float | None = None
        self.value = b""


class Host(Server):
    """A host that works on commands and answers them.

    `hangs` makes it take commands and answer none. `work` returns the seconds of a command. `drops_waiting`
    is not modelled: every command is begun when its last byte has come.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        zone: str = "east",
        cell: int = 0,
        work: Callable[[Attempt], float] | None = None,
        address: str = "127.0.0.1",
    ) -> None:
        super().__init__(address)
        self.record = record
        self.name = name
        self.zone = zone
        self.cell = cell
        self.work = work or (lambda attempt: random.uniform(0.15, 0.25))
        self.hangs = False
        self.started_ms = 0
        self.attempts: list[Attempt] = []
        self.cores = 4
        self.slots = 24  # commands in work and waiting; more are turned away
        self.in_work = 0
        self.waiting: deque[tuple[Attempt, asyncio.StreamWriter]] = deque()

    def entry(self, state: str = "up", address: str | None = None) -> dict[str, Any]:
        """Return the entry of this host in a list."""
        return {
            "id": self.name,
            "addr": address or f"{self.address}:{self.port}",
            "zone": self.zone,
            "kind": "std-4core",
            "cell": self.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read commands, and answer each after its work."""
        parser = RespReader()
        out: list[Attempt] = []
        first_byte_at = 0.0
        try:
            while data := await reader.read(65536):
                now = time.monotonic()
                first_byte_at = first_byte_at or now
                parser.feed(data)
                while (parts := parser.next()) is not ...:
                    if parts[0] in (b"PING", b"INFO"):
                        writer.write(b"+PONG\r\n" if parts[0] == b"PING" else bulk(self.report()))
                        continue
                    attempt = Attempt(self, parts, first_byte_at, now)
                    first_byte_at = 0.0
                    self.attempts.append(attempt)
                    out.append(attempt)
                    self.record.write(
                        f"host {self.name} got {attempt.verb} {attempt.request_id} {parts[3].decode()}", now
                    )
                    self._take(attempt, writer)
        finally:
            now = time.monotonic()
            for attempt in out:
                if attempt.ended_at is None:
                    attempt.ended_at = now

    def report(self) -> bytes:
        """Return the load report."""
        return b"avg_ms=200,cpu=%.2f,waiting=%d" % (self.in_work / self.cores, len(self.waiting))

    def _take(self, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        """Begin a command, let it wait for a core, or turn it away."""
        if self.hangs:
            return
        if len(self.waiting) >= self.slots:
            attempt.ended_at = time.monotonic()
            writer.write(b"-BUSY\r\n")
            return
        self.waiting.append((attempt, writer))
        self._begin_waiting()

    def _begin_waiting(self) -> None:
        while self.waiting and self.in_work < self.cores:
            attempt, writer = self.waiting.popleft()
            if attempt.ended_at is not None:  # its connection has ended: waiting work is dropped
                continue
            self.in_work += 1
            asyncio.get_running_loop().call_later(self.work(attempt), self._answer, attempt, writer)

    def _answer(self, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        self.in_work -= 1
        self._begin_waiting()
        attempt.ran_at = time.monotonic()
        self.record.write(f"host {self.name} ran {attempt.request_id}")
        if attempt.ended_at is not None or writer.transport.is_closing():
            return
        attempt.value = f"{self.name}:{attempt.request_id}".encode()
        attempt.ended_at = time.monotonic()
        writer.write(b"*3\r\n%s$-1\r\n%s" % (bulk(attempt.value), bulk(self.report())))


class Registry:
    """The list of hosts that discovery has. Agents tell it to the gateways."""

    def __init__(self) -> None:
        self.version = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()

    def set(self, entry: dict[str, Any]) -> None:
        """Add or change a host."""
        self.version += 1
        if entry["state"] == "removed":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        self.changes.append((self.version, entry))
        self.changed.set()
        self.changed = asyncio.Event()

    def full(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}


class Agent(Server):
    """The discovery agent of one gateway. While `is_silent`, it answers nothing, also not later."""

    def __init__(self, registry: Registry) -> None:
        super().__init__()
        self.registry = registry
        self.is_silent = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
            if self.is_silent:
                await asyncio.sleep(3600)
            body = json.dumps(await self._answer(query)).encode()
            if self.is_silent:
                await asyncio.sleep(3600)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                % (len(body), body)
            )

    async def _answer(self, query: dict[str, str]) -> dict[str, Any]:
        registry = self.registry
        if "index" not in query:
            return registry.full()
        index = int(query["index"])
        if registry.version <= index:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(registry.changed.wait(), int(query["wait"]) / 1000)
        changes = [entry for version, entry in registry.changes if version > index]
        return {"version": registry.version, "full": False, "servers": changes}


class Counter(Server):
    """The counter. While `is_silent`, it answers nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[str, tuple[float, float]] = {}
        self.is_silent = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection in their order."""
        while line := await reader.readline():
            words = line.split()
            if self.is_silent:
                await asyncio.sleep(3600)
            if words == [b"ping"]:
                writer.write(b"pong\r\n")
            elif len(words) == ADD_WORDS and words[0] == b"incr":
                total = self._add(words[1].decode(), float(words[2]), float(words[3]) / 1000)
                writer.write(b"ok %s\r\n" % f"{total:.7g}".encode())
            else:
                writer.write(b"error\r\n")

    def _add(self, name: str, amount: float, life: float) -> float:
        now = time.monotonic()
        total, expires_at = self.totals.get(name, (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + min(60.0, life)
        self.totals[name] = (total + amount, expires_at)
        return total + amount


class Proxy(Server):
    """A proxy in front of a server that can delay connections and bytes, hold them back and reset them.

    `connect_delay` returns the seconds until a new connection comes up. While `is_cut`, nothing passes; what
    was written meanwhile passes afterwards on connections that are still open.
    """

    def __init__(self, target: Server, address: str = "127.0.0.1") -> None:
        super().__init__(address)
        self.target = target
        self.is_cut = False
        self.uncut = asyncio.Event()

    def cut(self, is_cut: bool) -> None:
        """Begin or end a cut."""
        self.is_cut = is_cut
        if is_cut:
            self.uncut = asyncio.Event()
        else:
            self.uncut.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection."""
        if self.is_cut:
            await self.uncut.wait()
        to_reader, to_writer = await asyncio.open_connection(self.target.address, self.target.port)
        no_delay(to_writer)
        self.writers.add(to_writer)
        try:
            pumps = [
                asyncio.ensure_future(self._pump(reader, to_writer)),
                asyncio.ensure_future(self._pump(to_reader, writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        finally:
            self.writers.discard(to_writer)
            to_writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            while self.is_cut:
                await self.uncut.wait()
            writer.write(data)


class Request:
    """A request of a client."""

    def __init__(self, request_id: str, service_class: str, timeout: float, gateway: str) -> None:
        self.request_id = request_id
        self.service_class = service_class
        self.timeout = timeout
        self.gateway = gateway
        self.sent_at = 0.0
        self.answered_at: float | None = None
        self.answer: Any = None
        self.connection_ended_at: float | None = None
        self.on_answer: Callable[[], None] | None = None

    @property
    def outcome(self) -> str:
        """Return served, refused, failed, or open."""
        if self.answered_at is None:
            return "open"
        if isinstance(self.answer, bytes):
            return "served"
        return "refused" if str(self.answer).startswith("BUSY") else "failed"


class ClientConnection:
    """A connection of a client to a gateway; it pipelines commands and reads answers in order."""

    def __init__(self, record: Record, gateway: Gateway) -> None:
        self.record = record
        self.gateway = gateway
        self.pending: list[Request] = []
        self.is_open = False
        self.answered_count = 0
        self.ended_at: float | None = None
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter
        self.read_task: asyncio.Task[None] | None = None

    async def open(self) -> ClientConnection:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(self.gateway.address, self.gateway.port)
        no_delay(self._writer)
        self.is_open = True
        self.read_task = asyncio.ensure_future(self._read())
        return self

    def send(self, request: Request, data: bytes) -> None:
        """Send a request."""
        self.pending.append(request)
        self._writer.write(data)
        request.sent_at = time.monotonic()
        self.record.write(
            f"client sent {request.request_id} {request.service_class} d={request.timeout * 1000:.0f} "
            f"to {self.gateway.name}",
            request.sent_at,
        )

    def send_raw(self, data: bytes) -> None:
        """Write bytes."""
        self._writer.write(data)

    def close(self) -> None:
        """Close the connection, as a client that leaves."""
        self._writer.close()

    async def _read(self) -> None:
        parser = RespReader()
        try:
            while data := await self._reader.read(65536):
                parser.feed(data)
                while (answer := parser.next()) is not ...:
                    self._on_answer(answer)
        except (ConnectionError, RespError):
            pass
        self.is_open = False
        self.ended_at = time.monotonic()
        self._writer.close()
        for request in self.pending:
            request.connection_ended_at = self.ended_at
            self.record.write(f"client connection ended with {request.request_id} open")

    def _on_answer(self, answer: Any) -> None:
        if not self.pending:
            self.record.write(f"client got an answer that nobody asked for: {answer!r}")
            return
        request = self.pending.pop(0)
        request.answered_at = time.monotonic()
        request.answer = answer
        self.answered_count += 1
        self.record.write(f"client got {request.request_id} {request.outcome} {str(answer)[:60]}")
        if request.on_answer is not None:
            request.on_answer()


class Gateway:
    """A gateway process, started by the deploy file's `run`."""

    def __init__(self, record: Record, index: int, folder: Path, counter: Counter, agent: Agent) -> None:
        self.record = record
        self.index = index
        self.name = f"n{index}"
        self.address = "127.0.0.1"
        self.port = free_port()
        self.folder = folder
        self.counter = counter
        self.agent = agent
        self.process: asyncio.subprocess.Process | None = None
        self.config_file = folder / f"{self.name}.json"
        self.log_file = folder / f"{self.name}.log"

    def write_config(self, settings: dict[str, Any], known: dict[str, Any]) -> None:
        """Write the configuration."""
        config = {
            "name": self.name,
            "listen": f"{self.address}:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "counter": f"127.0.0.1:{self.counter.port}",
            "known": known,
            "settings": {**settings, "index": self.index},
        }
        self.config_file.write_text(json.dumps(config), encoding="utf-8")

    async def start(self) -> None:
        """Start the process, and wait until it answers PING with PONG."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        scratch = tempfile.mkdtemp(dir=self.folder)
        environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environment |= {
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"{self.address}:{self.port}",
            "RELAY_DISCOVERY": f"127.0.0.1:{self.agent.port}",
            "RELAY_CONFIG": str(self.config_file),
            "TMPDIR": scratch,
        }
        with self.log_file.open("a", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"gateway {self.name} started")
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline and self.process.returncode is None:
            if await self._is_ready():
                self.record.write(f"gateway {self.name} ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready: {self.log_file.read_text(encoding='utf-8')[-2000:]}")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.address, self.port)
        except OSError:
            return False
        try:
            writer.write(command(b"PING"))
            return await asyncio.wait_for(reader.readline(), 1.0) == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write(f"gateway {self.name} gets {number.name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def service(
    name: str, slo_ms: int, deadline_ms: int, effect: str, gain: float, **more: Any
) -> dict[str, Any]:
    """Return the settings of a class."""
    return {
        "name": name,
        "slo": slo_ms * MS,
        "deadline": deadline_ms * MS,
        "effect": effect,
        "gain": gain,
        "late_value": 0.0,
        **more,
    }


def make_settings(gateways: int, **more: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: the figures are those of the users' page."""
    settings: dict[str, Any] = {
        "group_size": gateways,
        "family": "gate",
        "locality": "east-wing",
        "zones": ["east-wing", "west-wing", "north-wing"],
        "registry_mode": "pushed",
        "clients": {"marks_retry": True},
        "limits": {
            "cancel": True,
            "second_copies": False,
            "probes": True,
            "peers": False,
            "max_attempts": 6,
            "max_open": 20000,
            "retry_after": False,
            "max_retry_after": 2000 * MS,
            "connect_timeout": 250 * MS,
            "idle_close": 30000 * MS,
            "streams_per_conn": 100,
        },
        "rules": {
            "answer_slack": 50 * MS,
            "drain_grace": 2000 * MS,
            "start_capacity": 0.15,
            "cold": 17000 * MS,
            "fall_multiple": 2.0,
            "tip_after": 2000 * MS,
        },
        "services": [
            service("roster-read", 2000, 5000, "pure", 1.0),
            service("shift-update", 2500, 6000, "token", 5.0, dedup_scope="cell", memory_span=6000 * MS),
            service("staff-notice", 1500, 5000, "side_effect", 3.0),
        ],
        "plans": [
            {"name": "basic", "rate": 1.0, "most_at_once": 5.0, "value_factor": 0.88, "over_cost": 0.5},
            {"name": "standard", "rate": 3.0, "most_at_once": 12.0, "value_factor": 1.2, "over_cost": 0.5},
            {
                "name": "enterprise",
                "rate": 12.0,
                "most_at_once": 24.0,
                "value_factor": 1.8,
                "over_cost": 0.8,
                "cap_rate": 24.0,
                "cap_depth": 48.0,
                "hard_slack": 4.8,
            },
        ],
        "prices": {"cross_zone": 0.005, "waste": 0.03, "probe": 0.01, "late_fail": 0.05},
        "reporting": {"names": ["avg_ms", "cpu", "waiting"], "via": "answers"},
        "specifics": {
            "shared_counter": True,
            "counter_price": 0.01,
            "counter_timeout": 80 * MS,
            "units_top": 1,
        },
        "weights": "none",
    }
    settings.update(more)
    return settings


def encode(
    request: Request, customer: int, plan: str = "standard", body: bytes = b"BODY", spread: int = 1
) -> bytes:
    """Return the bytes of a request."""
    key = f",k={request.request_id}" if request.service_class == "shift-update" else ""
    index = int(request.gateway[1:])
    fields = (
        f"c={request.service_class},t={plan},d={request.timeout * 1000:.0f}{key},units=1,"
        f"spread={spread},first={index if spread == 1 else 0}"
    )
    parts = [f"{customer:016x}".encode(), request.request_id.encode(), fields.encode()]
    if request.service_class == "roster-read":
        return command(b"API.READ", *parts)
    return command(b"API.WRITE", *parts, body)

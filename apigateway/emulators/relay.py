"""Links that can be faulty: a relay stands between a gateway and what it connects to, on loopback."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass

KINDS = ("sound", "delay", "silent", "stall", "cut", "refuse", "lose")


@dataclass(frozen=True, slots=True)
class Weather:
    """What a link does to what passes it.

    sound: nothing. delay: each piece comes `seconds` late, and up to `jitter` later, in order. silent:
    nothing passes and nobody is told, `one_way` of what comes back alone; connections stay open. stall: as
    silent, and all of it passes when the weather changes. cut: each connection is reset once `after` bytes
    have come back. refuse: new connections are reset, open ones stay. lose: a `part` of the connections, each
    drawn with its next piece that comes back, says nothing from then on."""

    kind: str = "sound"
    seconds: float = 0.0
    jitter: float = 0.0
    one_way: bool = False
    after: int = 0
    part: float = 0.0

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise ValueError(f"unknown weather {self.kind!r}, one of {', '.join(KINDS)}")
        if min(self.seconds, self.jitter, self.after, self.part) < 0 or self.part > 1:
            raise ValueError(f"weather {self.kind}: figure out of range")


SOUND = Weather()


class End(asyncio.Protocol):
    """One side of a connection through a relay."""

    def __init__(self, relay: Relay, there: bool) -> None:
        self.relay, self.there = relay, there  # there: it faces what is connected to
        self.other: End | None = None
        self.transport: asyncio.Transport | None = None
        self.held: list[bytes] = []  # before the other side is up, or while the link stalls
        self.passed, self.mute, self.due = 0, False, 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.relay.ends.add(self)
        if not self.there:
            self.relay.join(self)

    def data_received(self, data: bytes) -> None:
        relay, now = self.relay, asyncio.get_running_loop().time()
        weather = relay.weather
        if weather.kind == "lose" and self.there and relay.rng.random() < weather.part:
            self.mute = True
        if self.mute or (weather.kind == "silent" and (self.there or not weather.one_way)):
            return
        if weather.kind == "stall" or self.other is None or self.other.transport is None:
            self.held.append(data)
            return
        if weather.kind == "cut" and self.there and self.passed + len(data) > weather.after:
            self.write(data[: max(0, weather.after - self.passed)])
            self.abort()
            return
        late = weather.seconds + weather.jitter * relay.rng.random() if weather.kind == "delay" else 0.0
        self.due = max(self.due, now + late)  # in order, whatever the jitter
        if self.due > now:
            asyncio.get_running_loop().call_at(self.due, self.write, data)
        else:
            self.write(data)

    def write(self, data: bytes) -> None:
        self.passed += len(data)
        there = self.other.transport if self.other is not None else None
        if there is not None and data and not there.is_closing():  # it may end while a stall holds this back
            there.write(data)

    def release(self) -> None:
        held, self.held = self.held, []
        for data in held:
            self.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.relay.ends.discard(self)
        if self.other is not None and self.other.transport is not None and self.relay.tells_ends():
            self.other.transport.close() if exc is None else self.other.transport.abort()

    def abort(self) -> None:
        for end in (self, self.other):
            if end is not None and end.transport is not None:
                end.transport.abort()


class Relay:
    """A listener whose connections go on to `target`, through the `weather` that a test sets in time."""

    def __init__(self, target: tuple[str, int], seed: int = 0) -> None:
        self.target, self.weather, self.rng = target, SOUND, random.Random(f"relay/{seed}")
        self.ends: set[End] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = self.connections = 0
        self.server: asyncio.Server

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: End(self, False), "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def join(self, near: End) -> None:
        self.connections += 1
        if self.weather.kind == "refuse":
            near.abort()
            return
        task = asyncio.get_running_loop().create_task(self.connect(near))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, near: End) -> None:
        far = End(self, True)
        try:
            await asyncio.get_running_loop().create_connection(lambda: far, *self.target)
        except OSError:  # what it goes to has died: as the one that connects would be told
            near.abort()
            return
        far.other, near.other = near, far
        if near.transport is None or near.transport.is_closing():
            far.abort()
        elif self.weather.kind != "stall":
            near.release()

    def tells_ends(self) -> bool:
        """Whether one side's end is told to the other: not while nothing passes."""
        return self.weather.kind not in ("silent", "stall")

    def set(self, weather: Weather) -> None:
        """From now on. What a stall held passes; a connection of which nothing came through silence is reset,
        as its sender would find out when the link is back."""
        before, self.weather = self.weather, weather
        for end in list(self.ends):
            if before.kind == "stall":
                end.release()
            elif before.kind == "silent":
                end.abort()

    async def close(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for end in list(self.ends):
            end.abort()


class Links:
    """Relays between gateways and hosts, one for each zone of gateways and each host, and one for each
    gateway to the counter: hundreds of gateways do not need a relay for each pair."""

    def __init__(self, seed: int = 0) -> None:
        self.hosts: dict[tuple[str, str], Relay] = {}  # gateways' zone, host
        self.counter: dict[str, Relay] = {}  # gateway
        self.numbers, self.seed = itertools.count(), seed

    async def to_host(self, zone: str, host: str, target: tuple[str, int]) -> Relay:
        self.hosts[zone, host] = relay = Relay(target, self.seed * 10_000 + next(self.numbers))
        await relay.open()
        return relay

    async def to_counter(self, gateway: str, target: tuple[str, int]) -> Relay:
        self.counter[gateway] = relay = Relay(target, self.seed * 10_000 + next(self.numbers))
        await relay.open()
        return relay

    def between(self, weather: Weather, zones: set[str] | None = None, hosts: set[str] | None = None) -> None:
        """Sets it on the links of gateways of these zones to these hosts; None: of all."""
        for (zone, host), relay in self.hosts.items():
            if (zones is None or zone in zones) and (hosts is None or host in hosts):
                relay.set(weather)

    async def close(self) -> None:
        for relay in (*self.hosts.values(), *self.counter.values()):
            await relay.close()

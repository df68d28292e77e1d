"""Links that can be faulty: a relay stands between a gateway and what it connects to, on loopback."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass
from enum import StrEnum

BACKLOG = 512  # connections; hundreds of gateways connect at once
SEEDS_PER_LINKS = 10_000  # relays of one `Links` have seeds of their own


class LinkFaultKind(StrEnum):
    """What a link does to what passes it."""

    NO_FAULT = "sound"  # nothing
    DELAY = "delay"  # each piece comes `seconds` late, and up to `jitter` later, in order
    SILENT = "silent"  # nothing passes and nobody is told; connections stay open
    STALL = "stall"  # as SILENT, and all of it passes when the fault changes
    CUT = "cut"  # each connection is reset once `after` bytes have come back
    REFUSE = "refuse"  # new connections are reset, open ones stay
    LOSE = "lose"  # a `part` of the connections, drawn with each piece that comes back, says nothing more


MUTE_KINDS = (LinkFaultKind.SILENT, LinkFaultKind.STALL)


@dataclass(frozen=True, slots=True)
class LinkFault:
    """What a link does, a `LinkFaultKind`, and its figures.

    Attributes:
        one_way: Of SILENT: what goes to the target passes, and only what comes back does not.
    """

    kind: str = LinkFaultKind.NO_FAULT
    delay_s: float = 0.0
    jitter_s: float = 0.0
    one_way: bool = False
    after_bytes: int = 0
    share: float = 0.0

    def __post_init__(self) -> None:
        if self.kind not in tuple(LinkFaultKind):
            raise ValueError(f"unknown link fault {self.kind!r}, one of {', '.join(LinkFaultKind)}")
        if min(self.delay_s, self.jitter_s, self.after_bytes, self.share) < 0 or self.share > 1:
            raise ValueError(f"link fault {self.kind}: figure out of range")


NO_FAULT = LinkFault()


class RelayEnd(asyncio.Protocol):
    """One side of a connection through a relay.

    Attributes:
        faces_target: Whether it faces what is connected to, and not the one that connects.
        peer: The other side; None until that is up.
        transport: Its own connection; None until that is up.
    """

    def __init__(self, relay: Relay, faces_target: bool) -> None:
        self._relay = relay
        self.faces_target = faces_target
        self.peer: RelayEnd | None = None
        self.transport: asyncio.Transport | None = None
        self._held: list[bytes] = []  # before the other side is up, or while the link stalls
        self._passed_bytes = 0
        self._is_mute = False
        self._due = 0.0  # when the last piece passes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the target, for the side that faces the one that connects."""
        self.transport = transport  # type: ignore[assignment]
        self._relay.ends.add(self)
        if not self.faces_target:
            self._relay.connect_target(self)

    def data_received(self, data: bytes) -> None:
        """Pass a piece on, as the fault lets it."""
        fault = self._relay.fault
        if self._drops(fault):
            return
        if fault.kind == LinkFaultKind.STALL or self.peer is None or self.peer.transport is None:
            self._held.append(data)
            return
        is_cut = fault.kind == LinkFaultKind.CUT and self.faces_target
        if is_cut and self._passed_bytes + len(data) > fault.after_bytes:
            self._write(data[: max(0, fault.after_bytes - self._passed_bytes)])
            self.abort()
            return
        self._write_in_time(data, fault)

    def _drops(self, fault: LinkFault) -> bool:
        """Return whether a piece that comes now does not pass."""
        is_lossy = fault.kind == LinkFaultKind.LOSE and self.faces_target
        if is_lossy and self._relay.rng.random() < fault.share:
            self._is_mute = True
        is_silent = fault.kind == LinkFaultKind.SILENT and (self.faces_target or not fault.one_way)
        return self._is_mute or is_silent

    def _write_in_time(self, data: bytes, fault: LinkFault) -> None:
        """Pass a piece on, after the delay that the fault asks for."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        delay = 0.0
        if fault.kind == LinkFaultKind.DELAY:
            delay = fault.delay_s + fault.jitter_s * self._relay.rng.random()
        self._due = max(self._due, now + delay)  # in order, whatever the jitter
        if self._due > now:
            loop.call_at(self._due, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        self._passed_bytes += len(data)
        transport = self.peer.transport if self.peer is not None else None
        # The other side may end while a stall holds this back.
        if transport is not None and data and not transport.is_closing():
            transport.write(data)

    def release(self) -> None:
        """Pass on what was held back."""
        held = self._held
        self._held = []
        for data in held:
            self._write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other side in the same way, if the fault lets it know."""
        self._relay.ends.discard(self)
        peer = self.peer
        if peer is None or peer.transport is None or not self._relay.propagates_close():
            return
        if exc is None:
            peer.transport.close()
        else:
            peer.transport.abort()

    def abort(self) -> None:
        """Reset both sides."""
        for end in (self, self.peer):
            if end is not None and end.transport is not None:
                end.transport.abort()


class Relay:
    """A listener whose connections go on to a target, through the fault that a test sets in time.

    Attributes:
        fault: The fault now; change it by `set_fault`.
        ends: The sides of all connections that are up.
        connections: Connections that there ever were.
    """

    def __init__(self, target: tuple[str, int], seed: int = 0) -> None:
        self._target = target
        self.fault = NO_FAULT
        self.rng = random.Random(f"relay/{seed}")
        self.ends: set[RelayEnd] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0
        self.connections = 0
        self._server: asyncio.Server

    async def open(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: RelayEnd(self, faces_target=False), "127.0.0.1", 0, backlog=BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def connect_target(self, near: RelayEnd) -> None:
        """Connect a new connection to the target, or reset it."""
        self.connections += 1
        if self.fault.kind == LinkFaultKind.REFUSE:
            near.abort()
            return
        task = asyncio.get_running_loop().create_task(self._connect(near))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, near: RelayEnd) -> None:
        far = RelayEnd(self, faces_target=True)
        try:
            await asyncio.get_running_loop().create_connection(lambda: far, *self._target)
        except OSError:  # the target has died: the one that connects learns it as it would without a relay
            near.abort()
            return
        far.peer = near
        near.peer = far
        if near.transport is None or near.transport.is_closing():
            far.abort()
        elif self.fault.kind != LinkFaultKind.STALL:
            near.release()

    def propagates_close(self) -> bool:
        """Return whether one side's end is told to the other: not while nothing passes."""
        return self.fault.kind not in MUTE_KINDS

    def set_fault(self, fault: LinkFault) -> None:
        """Change the fault.

        What a stall held passes. After a silence all connections are reset, as their senders would find out
        when the link is back.
        """
        before = self.fault
        self.fault = fault
        for end in list(self.ends):
            if before.kind == LinkFaultKind.STALL:
                end.release()
            elif before.kind == LinkFaultKind.SILENT:
                end.abort()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for end in list(self.ends):
            end.abort()


class Links:
    """The relays of an installation.

    There is one for each zone of gateways and each host, and one for each gateway to the counter: hundreds of
    gateways do not need a relay for each pair.

    Attributes:
        hosts: By the gateways' zone and the host's name.
        counter: By the gateway's name.
    """

    def __init__(self, seed: int = 0) -> None:
        self.hosts: dict[tuple[str, str], Relay] = {}
        self.counter: dict[str, Relay] = {}
        self._seed = seed
        self._numbers = itertools.count()

    async def to_host(self, zone: str, host: str, target: tuple[str, int]) -> Relay:
        """Open the relay from the gateways of a zone to a host."""
        relay = self._new_relay(target)
        self.hosts[zone, host] = relay
        await relay.open()
        return relay

    async def to_counter(self, gateway: str, target: tuple[str, int]) -> Relay:
        """Open the relay from a gateway to the counter."""
        relay = self._new_relay(target)
        self.counter[gateway] = relay
        await relay.open()
        return relay

    def _new_relay(self, target: tuple[str, int]) -> Relay:
        return Relay(target, self._seed * SEEDS_PER_LINKS + next(self._numbers))

    def set_host_fault(
        self, fault: LinkFault, zones: set[str] | None = None, hosts: set[str] | None = None
    ) -> None:
        """Set the fault on the links of gateways of these zones to these hosts; None: of all."""
        for (zone, host), relay in self.hosts.items():
            if (zones is None or zone in zones) and (hosts is None or host in hosts):
                relay.set_fault(fault)

    async def close(self) -> None:
        """Close all relays."""
        for relay in (*self.hosts.values(), *self.counter.values()):
            await relay.close()

"""Links with faults: a TCP relay on loopback between a gateway and a host or the counter."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass
from enum import StrEnum

BACKLOG = 512  # hundreds of gateways connect at once
SEEDS_PER_LINKS = 10_000  # each relay of one `Links` has its own seed


class LinkFaultKind(StrEnum):
    """The kind of a link's fault."""

    NO_FAULT = "sound"
    DELAY = "delay"  # data is delayed by `delay_s` and up to `jitter_s` more, in order
    SILENT = "silent"  # all data is dropped; connections stay open
    STALL = "stall"  # data is held back until the fault changes
    CUT = "cut"  # connections are reset after `after_bytes` bytes from the target
    REFUSE = "refuse"  # new connections are reset, open ones stay
    LOSE = "lose"  # with probability `share` per chunk from the target, the connection goes silent


MUTE_KINDS = (LinkFaultKind.SILENT, LinkFaultKind.STALL)


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A link's fault: a `LinkFaultKind` and its parameters.

    Attributes:
        one_way: For SILENT, whether only data from the target is dropped.
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
            raise ValueError(f"link fault {self.kind}: parameter out of range")


NO_FAULT = LinkFault()


class RelayEnd(asyncio.Protocol):
    """One side of a connection through a relay.

    Attributes:
        faces_target: Whether it is connected to the target, and not to the client.
        peer: The other side; None until it is connected.
        transport: Its own connection; None until it is connected.
    """

    def __init__(self, relay: Relay, faces_target: bool) -> None:
        self._relay = relay
        self.faces_target = faces_target
        self.peer: RelayEnd | None = None
        self.transport: asyncio.Transport | None = None
        self._held: list[bytes] = []  # until the other side is connected, or while the link stalls
        self._passed_bytes = 0
        self._is_mute = False
        self._due = 0.0  # when the last delayed chunk is forwarded

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; on the client's side, connect to the target."""
        self.transport = transport  # type: ignore[assignment]
        self._relay.ends.add(self)
        if not self.faces_target:
            self._relay.connect_target(self)

    def data_received(self, data: bytes) -> None:
        """Forward a chunk, subject to the fault."""
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
        self._write_delayed(data, fault)

    def _drops(self, fault: LinkFault) -> bool:
        """Return whether a chunk that arrives now is dropped."""
        is_lossy = fault.kind == LinkFaultKind.LOSE and self.faces_target
        if is_lossy and self._relay.rng.random() < fault.share:
            self._is_mute = True
        is_silent = fault.kind == LinkFaultKind.SILENT and (self.faces_target or not fault.one_way)
        return self._is_mute or is_silent

    def _write_delayed(self, data: bytes, fault: LinkFault) -> None:
        """Forward a chunk after the fault's delay."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        delay = 0.0
        if fault.kind == LinkFaultKind.DELAY:
            delay = fault.delay_s + fault.jitter_s * self._relay.rng.random()
        self._due = max(self._due, now + delay)  # keeps the order despite the jitter
        if self._due > now:
            loop.call_at(self._due, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        self._passed_bytes += len(data)
        transport = self.peer.transport if self.peer is not None else None
        # The other side may close while a stall holds this data back.
        if transport is not None and data and not transport.is_closing():
            transport.write(data)

    def release(self) -> None:
        """Forward the data that was held back."""
        held = self._held
        self._held = []
        for data in held:
            self._write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side in the same way, unless the fault hides the close."""
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
    """A listener that forwards its connections to a target, through a fault that a test may change.

    Attributes:
        fault: The current fault; use `set_fault` to change it.
        ends: The sides of all open connections.
        connections: The number of connections accepted so far.
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

    def connect_target(self, client_end: RelayEnd) -> None:
        """Connect a new connection to the target, or reset it if the fault says so."""
        self.connections += 1
        if self.fault.kind == LinkFaultKind.REFUSE:
            client_end.abort()
            return
        task = asyncio.get_running_loop().create_task(self._connect(client_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, client_end: RelayEnd) -> None:
        target_end = RelayEnd(self, faces_target=True)
        try:
            await asyncio.get_running_loop().create_connection(lambda: target_end, *self._target)
        except OSError:  # the target is down: the client sees a reset, as without a relay
            client_end.abort()
            return
        target_end.peer = client_end
        client_end.peer = target_end
        if client_end.transport is None or client_end.transport.is_closing():
            target_end.abort()
        elif self.fault.kind != LinkFaultKind.STALL:
            client_end.release()

    def propagates_close(self) -> bool:
        """Return whether closes are forwarded to the other side; not while the link is silent or stalled."""
        return self.fault.kind not in MUTE_KINDS

    def set_fault(self, fault: LinkFault) -> None:
        """Change the fault.

        Data held by a stall is forwarded. After SILENT, all connections are reset, because their senders
        would find them broken once the link is back.
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

    There is one relay from each zone of gateways to each host, and one from each gateway to the counter.
    Hundreds of gateways would need too many relays if each pair had its own.

    Attributes:
        hosts: The relays to hosts, by the gateways' zone and the host's name.
        counter: The relays to the counter, by the gateway's name.
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
        """Set the fault on the links from gateways in `zones` to `hosts`; None means all."""
        for (zone, host), relay in self.hosts.items():
            if (zones is None or zone in zones) and (hosts is None or host in hosts):
                relay.set_fault(fault)

    async def close(self) -> None:
        """Close all relays."""
        for relay in (*self.hosts.values(), *self.counter.values()):
            await relay.close()

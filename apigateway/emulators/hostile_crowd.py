"""A crowd of abusive clients whose behaviour is drawn from a seed by a grammar, as a process of its own.

`python hostile_crowd.py PORT SEED CONNECTIONS SECONDS [SCRIPT]` ends by itself. Each client plays a script, a
sequence of steps, on a connection, and again on a new one when the gateway closes it or the script closes it.
Without SCRIPT each client draws its scripts; with SCRIPT all play that one. A script is a JSON list of steps:

- `["send", KIND, COUNT, PERCENT, PIECE]`: send COUNT whole commands of a kind, then PERCENT of another, in
  pieces of PIECE bytes, 0: as much as the socket takes.
- `["wait", SECONDS]`
- `["drip", BYTES]`: send the rest of the last command, a byte now and then.
- `["read", 0 or 1]`: whether answers are read from now on.
- `["close", "fin" or "reset" or "half"]`

It uses the standard library only, so that it starts fast and sends at full speed.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import selectors
import socket
import struct
import sys
import time
from collections.abc import Callable
from enum import StrEnum
from typing import Any

BODY_BYTES = 64 * 1024
POLL_S = 0.02
DRIP_INTERVAL_S = 0.1
PIECE_INTERVAL_S = 0.002
RECONNECT_DELAY_S = 0.005
READ_BYTES = 1 << 16
CUSTOMERS = 97
WAITS_S = (0.01, 0.2, 1.0, 3.0)
COUNTS = (0, 0, 1, 1, 2, 4, 16)
PERCENTS = (0, 10, 50, 50, 90)
PIECES = (0, 0, 0, 700, 5000, 17_000)
DRIP_BYTES = (3, 20, 100)
MAX_STEPS = 6
READING_SHARE = 0.7  # of the scripts, whose clients read their answers from the start
CLOSING_SHARE = 0.4  # of the scripts, whose clients close the connection at the end
RESET_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: close with a reset


class CommandKind(StrEnum):
    """What a command of an abusive client looks like."""

    SMALL = "small"
    LARGE_BODY = "large-body"
    MIDDLE_BODY = "middle-body"
    SHORT_FIELDS = "short-fields"
    LONG_FIELDS = "long-fields"
    LONG_PARTS = "long-parts"
    MANY_PARTS = "many-parts"
    MANY_SHORT_PARTS = "many-short-parts"
    NESTED = "nested"
    INVALID = "invalid"
    PING = "ping"


def encode(*parts: bytes) -> bytes:
    """Return a command of bulk strings."""
    body = b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
    return b"*%d\r\n%s" % (len(parts), body)


def _fields(service_class: bytes) -> bytes:
    return b"c=%s,t=p,d=2000,units=1,spread=1,first=0" % service_class


def _request(verb: bytes, request_id: bytes, number: int, fields: bytes, *body: bytes) -> bytes:
    return encode(verb, b"%016x" % (7 + number % CUSTOMERS), request_id, fields, *body)


def _write(request_id: bytes, number: int, body_bytes: int) -> bytes:
    return _request(b"API.WRITE", request_id, number, _fields(b"note"), bytes(body_bytes))


def _short_fields(request_id: bytes, number: int) -> bytes:
    fields = b"".join(b",%x=" % field for field in range(40 + number * 61 % 7000))
    return _request(b"API.READ", request_id, number, _fields(b"read") + fields)


def _many_short_parts(_request_id: bytes, number: int) -> bytes:
    count = 100 + number * 613 % 60_000
    return b"*%d\r\n" % count + b"$2\r\nab\r\n" * min(count, 6000)


COMMANDS: dict[CommandKind, Callable[[bytes, int], bytes]] = {
    CommandKind.SMALL: lambda rid, number: _request(b"API.READ", rid, number, _fields(b"read")),
    CommandKind.LARGE_BODY: lambda rid, number: _write(rid, number, BODY_BYTES),
    CommandKind.MIDDLE_BODY: lambda rid, number: _write(rid, number, 1000 + number * 977 % BODY_BYTES),
    CommandKind.SHORT_FIELDS: _short_fields,
    CommandKind.LONG_FIELDS: lambda rid, number: _request(
        b"API.READ", rid, number, _fields(b"read") + b",x=" + b"y" * (number * 331 % 60_000)
    ),
    CommandKind.LONG_PARTS: lambda _, _number: encode(*[bytes(3000)] * 8),
    CommandKind.MANY_PARTS: lambda _, _number: encode(*[bytes(1000)] * 60),
    CommandKind.MANY_SHORT_PARTS: _many_short_parts,
    CommandKind.NESTED: lambda _, number: b"*2\r\n" * (1 + number % 30) + encode(bytes(3000)),
    CommandKind.INVALID: lambda _, number: (b"*x\r\n", b"$70000000\r\n", b"?\r\n", bytes(2000))[number % 4],
    CommandKind.PING: lambda _, _number: encode(b"PING"),
}


def draw_script(rng: random.Random) -> list[list[Any]]:
    """Draw one client's steps."""
    script: list[list[Any]] = [["read", int(rng.random() < READING_SHARE)]]
    for _ in range(rng.randint(1, MAX_STEPS)):
        action = rng.choices(("send", "wait", "drip", "read"), (6, 2, 1, 1))[0]
        if action == "send":
            kind = rng.choice(list(CommandKind))
            script.append([action, kind, rng.choice(COUNTS), rng.choice(PERCENTS), rng.choice(PIECES)])
        elif action == "wait":
            script.append([action, rng.choice(WAITS_S)])
        elif action == "drip":
            script.append([action, rng.choice(DRIP_BYTES)])
        else:
            script.append([action, rng.randint(0, 1)])
    if rng.random() < CLOSING_SHARE:
        script.append(["close", rng.choice(("fin", "reset", "half"))])
    return script


class Client:
    """One client: its connection, and what is left of its script."""

    def __init__(self, number: int, seed: str, script: list[list[Any]] | None) -> None:
        self._rng = random.Random(f"{seed}/{number}")
        self._fixed_script = script
        self._name = b"%x.%x" % (self._rng.getrandbits(40), number)
        self._numbers = itertools.count(number)
        self.script: list[list[Any]] = []
        self.socket: socket.socket | None = None
        self.connection_number = 0
        self.unsent = memoryview(b"")
        self.piece_bytes = 0
        self.is_reading = True
        self.is_dripping = False
        self._rest = b""  # of the command that was sent in part

    def open(self, port: int) -> None:
        """Connect, and begin a script. Raises OSError."""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))
        self.script = list(self._fixed_script or draw_script(self._rng))
        self.unsent = memoryview(b"")
        self.is_reading = True
        self.is_dripping = False

    def next_delay_s(self) -> float | None:
        """Play the next step; return the seconds until the one after it, None once there is none.

        Raises ConnectionResetError if the step closed the connection.
        """
        if not self.script:
            return None
        action, *values = self.script.pop(0)
        match action:
            case "send":
                self._send(*values)
            case "wait":
                return float(values[0])
            case "drip":
                self.unsent = memoryview(self._rest[: values[0]])
                self._rest = self._rest[values[0] :]
                self.is_dripping = True
            case "read":
                self.is_reading = bool(values[0])
            case "close":
                self._close(values[0])
        return 0.0

    def _send(self, kind: str, count: int, percent: int, piece_bytes: int) -> None:
        make = COMMANDS[CommandKind(kind)]
        commands = [self._command(make) for _ in range(count)]
        part = self._command(make) if percent else b""
        cut = len(part) * percent // 100
        self._rest = part[cut:]
        self.unsent = memoryview(b"".join([*commands, part[:cut]]))
        self.piece_bytes = piece_bytes
        self.is_dripping = False

    def _command(self, make: Callable[[bytes, int], bytes]) -> bytes:
        number = next(self._numbers)
        return make(b"%s.%x" % (self._name, number), number)

    def _close(self, how: str) -> None:
        assert self.socket is not None
        if how == "half":
            self.socket.shutdown(socket.SHUT_WR)
            return
        if how == "reset":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        raise ConnectionResetError

    def write(self) -> float:
        """Send some bytes; return the seconds until more may be sent. Raises OSError."""
        assert self.socket is not None
        size = 1 if self.is_dripping else self.piece_bytes or len(self.unsent)
        sent = self.socket.send(self.unsent[:size])
        self.unsent = self.unsent[sent:]
        if self.is_dripping:
            return DRIP_INTERVAL_S
        return PIECE_INTERVAL_S if self.piece_bytes else 0.0


class Crowd:
    """All clients, on one selector."""

    def __init__(self, port: int, seed: str, connections: int, script: list[list[Any]] | None) -> None:
        self._port = port
        self._selector = selectors.DefaultSelector()
        # A heap of clients that wait: when they go on, a number, and the connection that they waited on.
        self._due: list[tuple[float, int, int, Client]] = []
        self._order = itertools.count()
        for number in range(connections):
            self._wait(Client(number, seed, script), 0.0)

    def run(self, until: float) -> None:
        """Play until a time of `time.monotonic`."""
        while (now := time.monotonic()) < until:
            while self._due and self._due[0][0] <= now:
                _, _, connection_number, client = heapq.heappop(self._due)
                if connection_number == client.connection_number:
                    self._advance(client)
            for key, events in self._selector.select(POLL_S if not self._due else 0.001):
                self._on_ready(key.data, events)

    def _wait(self, client: Client, delay_s: float) -> None:
        due_at = time.monotonic() + delay_s
        heapq.heappush(self._due, (due_at, next(self._order), client.connection_number, client))

    def _advance(self, client: Client) -> None:
        """Go on with a client whose wait is over."""
        try:
            if client.socket is None:
                client.open(self._port)
                self._selector.register(client.socket, selectors.EVENT_WRITE, client)  # type: ignore[arg-type]
                return
            while not client.unsent:
                delay_s = client.next_delay_s()
                if delay_s is None:
                    break
                if delay_s:
                    self._wait(client, delay_s)
                    self._watch(client, may_write=False)
                    return
            self._watch(client, may_write=bool(client.unsent))
        except OSError:
            self._reopen(client)

    def _watch(self, client: Client, may_write: bool) -> None:
        events = selectors.EVENT_READ if client.is_reading else 0
        if may_write:
            events |= selectors.EVENT_WRITE
        assert client.socket is not None
        is_watched = client.socket.fileno() in self._selector.get_map()
        if not events:
            # An abandoned connection is looked at again now and then.
            if is_watched:
                self._selector.unregister(client.socket)
            if not client.script:
                client.script = [["wait", WAITS_S[-1]], ["read", 1]]
                self._wait(client, 0.0)
        elif is_watched:
            self._selector.modify(client.socket, events, client)
        else:
            self._selector.register(client.socket, events, client)

    def _on_ready(self, client: Client, events: int) -> None:
        assert client.socket is not None
        try:
            if events & selectors.EVENT_READ and not client.socket.recv(READ_BYTES):
                raise ConnectionResetError
            if not events & selectors.EVENT_WRITE:
                return
            delay_s = client.write() if client.unsent else 0.0
            if delay_s:
                self._wait(client, delay_s)
                self._watch(client, may_write=False)
            elif not client.unsent:
                self._advance(client)
        except BlockingIOError:
            return
        except OSError:
            self._reopen(client)

    def _reopen(self, client: Client) -> None:
        assert client.socket is not None
        if client.socket.fileno() in self._selector.get_map():
            self._selector.unregister(client.socket)
        client.socket.close()
        client.socket = None
        client.connection_number += 1
        self._wait(client, RECONNECT_DELAY_S)


def main() -> None:
    """Play a crowd."""
    port, seed, connections, seconds, *script = sys.argv[1:]
    until = time.monotonic() + float(seconds)
    Crowd(int(port), seed, int(connections), json.loads(script[0]) if script else None).run(until)


if __name__ == "__main__":
    main()

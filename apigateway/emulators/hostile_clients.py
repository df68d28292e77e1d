"""Clients that abuse a gateway's RESP2 listener, run as a process of their own beside the judged clients.

`python hostile_clients.py PORT KIND CONNECTIONS SECONDS` ends by itself. It uses the standard library only,
so that it starts fast and sends at full speed.
"""

from __future__ import annotations

import itertools
import selectors
import socket
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from enum import StrEnum

CONNECT_TIMEOUT_S = 2.0
POLL_S = 0.02  # longest wait for a socket
SLOW_INTERVAL_S = 0.2  # between two bytes of a client that writes slowly
REPEAT_INTERVAL_S = 0.003  # from an answer to the same command again, as over a network of 1.5 ms one way
READ_BYTES = 1 << 18
BATCH_COMMANDS = 200  # encoded and written at once
BODY_BYTES = 64 * 1024
FIELD_COUNT = 8000  # of a command with very many fields


class AbuseKind(StrEnum):
    """What abusive clients do; the first group sends commands at full speed."""

    PING = "ping"
    UNKNOWN_COMMANDS = "unknown-commands"
    EMPTY_IDS = "empty-ids"
    NEW_CLASSES = "new-classes"
    NEW_PLANS = "new-plans"
    NEW_CUSTOMERS = "new-customers"
    MANY_FIELDS = "many-fields"
    LARGE_BODIES = "large-bodies"
    UNREAD_ANSWERS = "unread-answers"
    CONNECT_STORM = "connect-storm"
    HALF_BODIES = "half-bodies"
    SLOW_BYTES = "slow-bytes"
    IDLE_CROWD = "idle-crowd"
    REPEATED_ERRORS = "repeated-errors"


def encode(*parts: bytes) -> bytes:
    """Return a command of bulk strings."""
    body = b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
    return b"*%d\r\n%s" % (len(parts), body)


def _fields(service_class: bytes = b"read", plan: bytes = b"p") -> bytes:
    return b"c=%s,t=%s,d=2000,units=1,spread=1,first=0" % (service_class, plan)


def _ping(_number: int) -> bytes:
    return encode(b"PING")


def _unknown_command(number: int) -> bytes:
    return encode(b"UNKNOWN%d" % number)


def _empty_id(_number: int) -> bytes:
    return encode(b"API.READ", b"%016x" % 7, b"", _fields())


def _new_class(number: int) -> bytes:
    return encode(b"API.READ", b"%016x" % 7, b"c%d" % number, _fields(b"class%d" % number))


def _new_plan(number: int) -> bytes:
    return encode(b"API.READ", b"%016x" % 7, b"p%d" % number, _fields(plan=b"plan%d" % number))


def _new_customer(number: int) -> bytes:
    return encode(b"API.READ", b"%016x" % (1000 + number), b"n%d" % number, _fields())


def _many_fields(number: int) -> bytes:
    fields = _fields() + b"".join(b",%x=" % field for field in range(FIELD_COUNT))
    return encode(b"API.READ", b"%016x" % 7, b"f%d" % number, fields)


def _large_body(number: int) -> bytes:
    return encode(b"API.WRITE", b"%016x" % 7, b"b%d" % number, _fields(b"note"), bytes(BODY_BYTES))


FLOOD_COMMANDS: dict[AbuseKind, Callable[[int], bytes]] = {
    AbuseKind.PING: _ping,
    AbuseKind.UNKNOWN_COMMANDS: _unknown_command,
    AbuseKind.EMPTY_IDS: _empty_id,
    AbuseKind.NEW_CLASSES: _new_class,
    AbuseKind.NEW_PLANS: _new_plan,
    AbuseKind.NEW_CUSTOMERS: _new_customer,
    AbuseKind.MANY_FIELDS: _many_fields,
    AbuseKind.LARGE_BODIES: _large_body,
    AbuseKind.UNREAD_ANSWERS: _new_customer,
}
LARGE_COMMANDS = (AbuseKind.MANY_FIELDS, AbuseKind.LARGE_BODIES)


def connect(port: int) -> socket.socket | None:
    """Open a connection; None if the gateway does not accept one."""
    try:
        sock = socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S)
    except OSError:
        return None
    sock.setblocking(False)
    return sock


class Flood:
    """Connections on which commands are written at full speed, and answers read or left unread."""

    def __init__(self, port: int, kind: AbuseKind, connections: int) -> None:
        self._port = port
        self._make_command = FLOOD_COMMANDS[kind]
        self._batch = 2 if kind in LARGE_COMMANDS else BATCH_COMMANDS
        self._events = selectors.EVENT_WRITE
        if kind != AbuseKind.UNREAD_ANSWERS:
            self._events |= selectors.EVENT_READ
        self._numbers = itertools.count()
        self._selector = selectors.DefaultSelector()
        for _ in range(connections):
            self._open()

    def _open(self) -> None:
        sock = connect(self._port)
        if sock is not None:
            self._selector.register(sock, self._events, bytearray())

    def run(self, until: float) -> None:
        """Write and read until a time of `time.monotonic`."""
        while time.monotonic() < until and self._selector.get_map():
            for key, events in self._selector.select(POLL_S):
                assert isinstance(key.fileobj, socket.socket)
                try:
                    self._step(key.fileobj, events, key.data)
                except BlockingIOError:
                    continue
                except OSError:
                    self._selector.unregister(key.fileobj)
                    key.fileobj.close()
                    self._open()

    def _step(self, sock: socket.socket, events: int, unsent: bytearray) -> None:
        if events & selectors.EVENT_READ and not sock.recv(READ_BYTES):
            raise ConnectionResetError
        if events & selectors.EVENT_WRITE:
            if not unsent:
                unsent += b"".join(self._make_command(number) for number in self._next_numbers())
            del unsent[: sock.send(unsent)]

    def _next_numbers(self) -> Iterator[int]:
        return itertools.islice(self._numbers, self._batch)


class Repeaters:
    """Kept connections that each send an invalid command again a moment after it is answered."""

    def __init__(self, port: int, connections: int) -> None:
        self._port = port
        self._selector = selectors.DefaultSelector()
        self._due: deque[tuple[float, socket.socket]] = deque()  # when to send again, earliest first
        for number in range(connections):
            self._open(_new_class(number))

    def _open(self, command: bytes) -> None:
        sock = connect(self._port)
        if sock is not None:
            self._selector.register(sock, selectors.EVENT_READ, command)
            self._due.append((time.monotonic(), sock))

    def run(self, until: float) -> None:
        """Send and read until a time of `time.monotonic`."""
        while (now := time.monotonic()) < until and self._selector.get_map():
            while self._due and self._due[0][0] <= now:
                _, sock = self._due.popleft()
                if sock.fileno() >= 0:
                    _send(sock, self._selector.get_key(sock).data)
            for key, _ in self._selector.select(REPEAT_INTERVAL_S / 3 if self._due else POLL_S):
                assert isinstance(key.fileobj, socket.socket)
                self._on_readable(key.fileobj, key.data)

    def _on_readable(self, sock: socket.socket, command: bytes) -> None:
        try:
            if sock.recv(READ_BYTES):
                self._due.append((time.monotonic() + REPEAT_INTERVAL_S, sock))
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        self._selector.unregister(sock)
        sock.close()
        self._open(command)


def write_slowly(port: int, kind: AbuseKind, connections: int, until: float) -> None:
    """Send a command's first part on each connection, then one byte now and then, or nothing more."""
    command = _large_body(0)
    begin = len(command) // 2 if kind == AbuseKind.HALF_BODIES else 1
    sockets = []
    for _ in range(connections):
        sock = connect(port)
        if sock is not None:
            sockets.append(sock)
            if kind != AbuseKind.IDLE_CROWD:
                _send(sock, command[:begin])
    position = begin
    while time.monotonic() < until:
        time.sleep(SLOW_INTERVAL_S)
        if kind != AbuseKind.IDLE_CROWD:
            for sock in sockets:
                _send(sock, command[position : position + 1])
            position += 1


def _send(sock: socket.socket, data: bytes) -> None:
    try:
        sock.send(data)
    except OSError:
        return


def storm(port: int, connections: int, until: float) -> None:
    """Open connections in a row, a few at a time, with a command each, and leave at once."""
    while time.monotonic() < until:
        sockets = [connect(port) for _ in range(connections)]
        for sock in sockets:
            if sock is not None:
                _send(sock, _ping(0))
                sock.close()


def main() -> None:
    """Play one kind of abuse."""
    port, connections, seconds = int(sys.argv[1]), int(sys.argv[3]), float(sys.argv[4])
    kind = AbuseKind(sys.argv[2])
    until = time.monotonic() + seconds
    if kind in FLOOD_COMMANDS:
        Flood(port, kind, connections).run(until)
    elif kind == AbuseKind.CONNECT_STORM:
        storm(port, connections, until)
    elif kind == AbuseKind.REPEATED_ERRORS:
        Repeaters(port, connections).run(until)
    else:
        write_slowly(port, kind, connections, until)


if __name__ == "__main__":
    main()

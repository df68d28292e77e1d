"""Clients: one request at a time on each connection, which they keep and use again."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from typing import Any, NamedTuple

from standins2 import resp
from standins2.record import Record

LATE_S = 2.0  # after its time, for which a client still looks whether an answer comes
CONNECT_S = 1.0
MILLISECONDS_PER_SECOND = 1000


class Customer(NamedTuple):
    """A customer, and the set of gateways that its requests come through."""

    number: int
    plan: str
    first: int
    spread: int


class Connection(NamedTuple):
    """An open connection to a gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Clients:
    """Sends requests to gateways, by the gateways' numbers, and records what comes back.

    Args:
        record: Gets a line for each request.
        ports: The gateways' ports on 127.0.0.1.
    """

    def __init__(self, record: Record, ports: list[int]) -> None:
        self.record = record
        self.ports = ports
        self._prefix = secrets.token_hex(4)
        self._numbers = itertools.count(1)
        self._idle: dict[int, list[Connection]] = {number: [] for number in range(len(ports))}
        self._open: set[asyncio.StreamWriter] = set()

    def new_id(self) -> str:
        """Return an id that no request had."""
        return f"{self._prefix}{next(self._numbers):08x}"

    async def connect(self, gateway: int) -> Connection:
        """Return a new connection to a gateway. Raises OSError or TimeoutError."""
        opening = asyncio.open_connection("127.0.0.1", self.ports[gateway])
        connection = Connection(*await asyncio.wait_for(opening, CONNECT_S))
        self._open.add(connection.writer)
        return connection

    def encode(self, customer: Customer, request_id: str, service: dict[str, Any], wait_s: float) -> bytes:
        """Return a request of a class."""
        key = f"k={secrets.token_hex(8)}," if service["effect"] == "token" else ""
        text = (
            f"c={service['name']},t={customer.plan},d={int(wait_s * MILLISECONDS_PER_SECOND)},{key}"
            f"units=1,spread={customer.spread},first={customer.first}"
        )
        parts = [f"{customer.number:016x}", request_id, text]
        if service["effect"] == "pure":
            return resp.command(b"API.READ", *(part.encode() for part in parts))
        return resp.command(b"API.WRITE", *(part.encode() for part in parts), b"body")

    async def send(
        self, gateway: int, customer: Customer, service: dict[str, Any], wait_s: float | None = None
    ) -> dict[str, Any]:
        """Send a request and return its line in the record, with `answer` and `answered_at`.

        A request that crosses the end of a kept connection is sent once more on a new one. `answer` is
        `unreachable` if the gateway takes no connection, and None if the connection ends or nothing comes.
        """
        wait_s = service["deadline"] / 1e9 if wait_s is None else wait_s
        request_id = self.new_id()
        event = self.record.add(
            "request",
            id=request_id,
            gateway=gateway,
            customer=f"{customer.number:016x}",
            service=service["name"],
            d=int(wait_s * MILLISECONDS_PER_SECOND),
        )
        data = self.encode(customer, request_id, service, wait_s)
        kept = self._idle[gateway]
        while kept:
            connection = kept.pop()
            if connection.reader.at_eof() or connection.writer.is_closing():
                self._drop(connection)
                continue
            reply = await self._ask(connection, data, wait_s + LATE_S)
            if reply is not None or connection.reader.at_eof() is False:
                return self._end(event, gateway, connection, reply)
            self._drop(connection)
            event["sent_again_at"] = round(self.record.now(), 4)
            break
        try:
            connection = await self.connect(gateway)
        except (OSError, TimeoutError):
            return self._end(event, gateway, None, b"unreachable")
        return self._end(event, gateway, connection, await self._ask(connection, data, wait_s + LATE_S))

    async def _ask(self, connection: Connection, data: bytes, wait_s: float) -> bytes | None:
        try:
            connection.writer.write(data)
            return await asyncio.wait_for(resp.read_reply(connection.reader), wait_s)
        except (OSError, TimeoutError):
            return None

    def _end(
        self, event: dict[str, Any], gateway: int, connection: Connection | None, reply: bytes | None
    ) -> dict[str, Any]:
        event["answer"] = None if reply is None else reply.decode("ascii", "replace")
        event["answered_at"] = round(self.record.now(), 4)
        if connection is not None and reply is not None:
            self._idle[gateway].append(connection)
        elif connection is not None:
            self._drop(connection)
        return event

    def _drop(self, connection: Connection) -> None:
        self._open.discard(connection.writer)
        connection.writer.transport.abort()

    def close(self) -> None:
        """Close all connections."""
        for writer in list(self._open):
            writer.transport.abort()

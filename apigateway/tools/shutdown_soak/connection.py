"""A client connection whose requests may be pipelined, and what becomes of them when it ends."""

from __future__ import annotations

import asyncio
import math
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from apigateway.emulators.client_messages import ClientRequest, parse_answer
from apigateway.emulators.ledger import Ledger
from apigateway.emulators.ledger_records import LIMIT_MARGIN_S
from apigateway.emulators.timing.timestamped_socket import ReceivedReply, ReplyReader

CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class OpenRequest:
    """A request without an answer."""

    request: ClientRequest
    written_at: float


class SoakConnection:
    """One connection to the gateway.

    Attributes:
        open_requests: The requests without an answer, in the order in which they were sent.
        answer_count: The number of answers received.
        other_replies: The number of replies without a request: errors for half a command.
        ended: Set once the gateway has closed the connection.
        opened_at: When it was opened, by `time.monotonic`.
        ended_at: When the gateway's end of the connection arrived at the socket; NaN before.
    """

    def __init__(
        self, sock: socket.socket, ledger: Ledger, on_ended: Callable[[SoakConnection], None]
    ) -> None:
        self.open_requests: deque[OpenRequest] = deque()
        self.answer_count = 0
        self.other_replies = 0
        self.ended = asyncio.Event()
        self.answered = asyncio.Event()  # set at each answer; whoever waits clears it
        self._socket = sock
        self._ledger = ledger
        self._on_ended = on_ended
        self._last_answer_at = 0.0
        self.opened_at = time.monotonic()
        self.ended_at = math.nan
        self._reader = ReplyReader(sock, self._on_reply, self._end)

    @classmethod
    async def open(
        cls, port: int, ledger: Ledger, on_ended: Callable[[SoakConnection], None]
    ) -> SoakConnection | None:
        """Connect to a port of this machine; return None if that is not possible."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        except (OSError, TimeoutError):
            sock.close()
            return None
        return cls(sock, ledger, on_ended)

    def send(self, *requests: ClientRequest) -> bool:
        """Send requests at once, behind those that are open; return False if the connection has ended."""
        if self.ended.is_set():
            return False
        now = time.monotonic()
        for request in requests:
            self.open_requests.append(OpenRequest(request, now))
            self._ledger.record_request(
                request.id,
                "g",
                request.timeout_s,
                request.customer,
                request.plan,
                request.service_class,
                request.units,
            )
        return self.send_bytes(b"".join(request.encode() for request in requests))

    def send_bytes(self, data: bytes) -> bool:
        """Send bytes, which fit the socket's buffer; return False if the connection has ended."""
        try:
            self._socket.sendall(data)
        except OSError:
            self._end(time.monotonic())
            return False
        return True

    def half_close(self) -> None:
        """Send no more; the gateway takes this for the end of the client."""
        self._forget_open_requests()
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError:
            self._end(time.monotonic())

    def leave(self) -> None:
        """Close the connection; open requests need no answer and are not to be forwarded any more."""
        self._forget_open_requests()
        self._close()

    def _forget_open_requests(self) -> None:
        for open_request in self.open_requests:
            self._ledger.record_client_left(open_request.request.id)
        self.open_requests.clear()

    def _on_reply(self, reply: ReceivedReply) -> None:
        if not self.open_requests:
            self.other_replies += 1
            return
        open_request = self.open_requests.popleft()
        request = open_request.request
        # The time for which an answer waits for those before it does not count.
        latest = open_request.written_at + request.timeout_s
        arrived_at = reply.arrived_at
        has_waited = latest < arrived_at <= self._last_answer_at + LIMIT_MARGIN_S
        waited_s = arrived_at - latest if has_waited else 0.0
        self._last_answer_at = arrived_at
        self.answer_count += 1
        answer = parse_answer(reply.value)
        self._ledger.record_answer(
            request.id, answer.kind, answer.value, arrived_at, reply.is_merged, waited_s
        )
        self.answered.set()

    def _end(self, ended_at: float) -> None:
        if not self.ended.is_set():
            self.ended_at = ended_at
            self._close()
            self._on_ended(self)

    def _close(self) -> None:
        if self.ended.is_set():
            return
        self.ended.set()
        self.answered.set()
        self._reader.stop()
        self._socket.close()

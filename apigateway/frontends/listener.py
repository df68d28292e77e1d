"""A listening socket whose connections this package accepts by itself.

The event loop's own server would answer a shortage of descriptors by accepting and closing what waits, and
would fail at once if its socket could not be opened for a moment.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import math
import socket
from collections.abc import Callable, Coroutine
from time import monotonic

from apigateway.core.input_scheduler import InputScheduler
from apigateway.frontends.queue_arrivals import QueueArrivals
from apigateway.upstream import socket_state
from apigateway.upstream.address import Address

# Connections that the kernel queues until they are accepted.
LISTEN_BACKLOG = 1024
# Time for which connections are accepted in one iteration of the event loop while clients' input waits for
# its turn. Otherwise one is accepted, and the loop polls again at once.
ACCEPT_TIME_S = 0.001
# Delay before accepting again after a shortage of descriptors or memory.
ACCEPT_RETRY_DELAY_S = 0.02
# Delay between two attempts to open the socket, and how long it is tried.
OPEN_RETRY_DELAY_S = 0.1
OPEN_TIMEOUT_S = 10.0
# Interval between two log lines on connections that cannot be accepted.
LOG_INTERVAL_S = 1.0

# Errors of `accept` that belong to the connection that was to be accepted, by accept(2).
_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,
    }
)
# Errors of `socket`, `bind` and `listen` that may be over in a moment.
_TRANSIENT_OPEN_ERRORS = frozenset(
    {
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENFILE,
        errno.EMFILE,
        errno.EAGAIN,
        errno.EINTR,
        errno.EADDRNOTAVAIL,
        errno.ENETDOWN,
        errno.ENETUNREACH,
    }
)

log = logging.getLogger(__name__)


class Listener:
    """Accepts connections, and passes each socket on.

    Args:
        on_accepted: Called with each accepted socket, which does not block, and with the earliest time, by
            `time.monotonic`, at which its connection may have come; negative infinity if that is not known.
        on_established: Called when a connection is established, or could not be.
        input_scheduler: Tells whether clients' input waits for its turn.
        can_accept: Returns whether a connection may be accepted now; else it waits in the kernel's queue.
    """

    def __init__(
        self,
        on_accepted: Callable[[socket.socket, float], None],
        on_established: Callable[[], None],
        input_scheduler: InputScheduler,
        can_accept: Callable[[], bool] = lambda: True,
    ) -> None:
        self._can_accept = can_accept
        self._input_scheduler = input_scheduler
        self._on_accepted = on_accepted
        self._on_established = on_established
        self._establishing: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._is_paused = False  # for a shortage of descriptors or memory
        self._is_suspended = False  # until `resume`
        self._arrivals = QueueArrivals()
        self._logged_at = -LOG_INTERVAL_S

    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return self._socket is not None

    async def open(self, address: Address, sock: socket.socket | None = None) -> int:
        """Listen on an address, or on `sock`, a socket that is bound already; return the port.

        Raises:
            OSError: The socket could not be opened for OPEN_TIMEOUT_S, or not for a reason that lasts.
        """
        deadline = monotonic() + OPEN_TIMEOUT_S
        while True:
            try:
                self._socket = _listen(address, sock)
                break
            except OSError as error:
                if error.errno not in _TRANSIENT_OPEN_ERRORS or monotonic() >= deadline:
                    raise OSError(
                        error.errno, f"cannot listen on {address[0]}:{address[1]}: {error}"
                    ) from error
                log.warning("cannot listen on %s:%d yet: %s", *address, error)
            await asyncio.sleep(OPEN_RETRY_DELAY_S)
        # Clients may have connected before the first look at the queue, to a passed socket also before this.
        self._arrivals.restart(monotonic() if sock is None else -math.inf)
        self._start_accepting()
        return int(self._socket.getsockname()[1])

    def close(self) -> None:
        """Accept no more connections; those in the kernel's queue are reset."""
        if self._socket is None:
            return
        if not self._is_paused and not self._is_suspended:
            asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None

    def suspend(self) -> None:
        """Leave new connections in the kernel's queue until `resume`."""
        if self._is_suspended:
            return
        self._is_suspended = True
        if self._socket is not None and not self._is_paused:
            asyncio.get_running_loop().remove_reader(self._socket)

    def resume(self) -> None:
        """Accept connections again, those that waited first."""
        if not self._is_suspended:
            return
        self._is_suspended = False
        if not self._is_paused:
            self._start_accepting()

    @property
    def establishing_count(self) -> int:
        """How many accepted connections are not established yet."""
        return len(self._establishing)

    def establish(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run the coroutine that establishes an accepted connection."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._establishing.add(task)
        task.add_done_callback(self._on_task_ended)

    def _on_task_ended(self, task: asyncio.Task[None]) -> None:
        self._establishing.discard(task)
        self._on_established()

    def cancel_establishing(self) -> None:
        """Give up the connections that are not established yet."""
        for task in list(self._establishing):
            task.cancel()

    @property
    def has_pending_connections(self) -> bool:
        """Whether a connection waits to be accepted."""
        return self._socket is not None and socket_state.has_pending_connection(self._socket)

    @property
    def pending_connection_count(self) -> int:
        """How many connections wait to be accepted."""
        return 0 if self._socket is None else socket_state.pending_connection_count(self._socket)

    def _start_accepting(self) -> None:
        self._is_paused = False
        if self._socket is not None and not self._is_suspended:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        """Accept pending connections for a time."""
        started_at = monotonic()
        self._arrivals.on_ready(started_at)
        self._accept_until(started_at + ACCEPT_TIME_S)
        if self._socket is not None:
            has_queue = self.has_pending_connections
            self._arrivals.on_look(monotonic(), self.pending_connection_count if has_queue else 0, has_queue)

    def _accept_until(self, until: float) -> None:
        while self._socket is not None and self._can_accept():
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in _CONNECTION_ERRORS:
                    self._arrivals.take()
                    continue
                self._pause(error)
                return
            sock.setblocking(False)
            with contextlib.suppress(OSError):  # the client may have reset the connection
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._on_accepted(sock, self._arrivals.take())
            if not self._input_scheduler.queue_length or monotonic() >= until:
                return

    def _pause(self, error: OSError) -> None:
        """Leave connections in the kernel's queue for a moment: none is closed for a shortage."""
        assert self._socket is not None
        if monotonic() - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = monotonic()
            log.warning("cannot accept connections for a moment, they wait: %s", error)
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        self._is_paused = True
        loop.call_later(ACCEPT_RETRY_DELAY_S, self._start_accepting)


def _listen(address: Address, sock: socket.socket | None) -> socket.socket:
    """Return a listening socket that does not block. Raises OSError."""
    if sock is None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        return _set_up(_bind(family, address), must_close=True)
    return _set_up(sock, must_close=False)


def _bind(family: socket.AddressFamily, address: Address) -> socket.socket:
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def _set_up(sock: socket.socket, must_close: bool) -> socket.socket:
    try:
        sock.setblocking(False)
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        if must_close:
            sock.close()
        raise
    return sock

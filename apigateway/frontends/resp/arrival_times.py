"""When the data of a client connection may have arrived, at the earliest.

A request's time counts from then, not from when it was read: the connection may have waited in the kernel's
queue, the process may have been paused, or the connection was not read for a while.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from apigateway.upstream import socket_state

if TYPE_CHECKING:
    from apigateway.core.loop_lag import LoopLag
    from apigateway.upstream.socket_state import SocketWithOptions

# Longest time for which data is taken to have waited in the queue of a socket that was passed to the process.
MAX_UNREAD_S = 10.0


class ArrivalTimes:
    """The arrival times of one connection's data, by the input scheduler's clock.

    Args:
        loop_lag: Tells since when the event loop may not have read its sockets.
        queued_since: When the connection may have come, at the earliest, with its first data.

    Attributes:
        received_at: When data was last read.
        arrived_at: When the data that was last read may have arrived, at the earliest.
        is_backlogged: Whether the last read filled the buffer.
        may_have_unread: Whether the connection was not read, or not to the end.
    """

    __slots__ = (
        "_loop_lag",
        "_unread_since",
        "received_at",
        "arrived_at",
        "is_backlogged",
        "may_have_unread",
    )

    def __init__(self, loop_lag: LoopLag, queued_since: float) -> None:
        self._loop_lag = loop_lag
        self._unread_since = queued_since  # since when unread data may wait, if `may_have_unread`
        self.received_at = 0.0
        self.arrived_at = 0.0
        self.is_backlogged = False
        self.may_have_unread = False

    def on_read(self, now: float, is_buffer_full: bool, sock: SocketWithOptions) -> None:
        """Record when the data that was read may have arrived: since the socket was last seen empty."""
        self.received_at = now
        if self.may_have_unread and self._unread_since > -math.inf:
            self.arrived_at = self._unread_since
        elif self.may_have_unread:
            self.arrived_at = now - min(MAX_UNREAD_S, socket_state.data_age_s(sock))
        elif (unread_since := self._loop_lag.unread_since(now)) is not None:
            self.arrived_at = max(unread_since, now - socket_state.data_age_s(sock))
        else:
            self.arrived_at = now
        self.is_backlogged = is_buffer_full
        self.may_have_unread = is_buffer_full and socket_state.has_unread_data(sock)
        self._unread_since = self.arrived_at

    def on_reading_paused(self, now: float) -> None:
        """Record that the connection is not read from now on."""
        if not self.may_have_unread:
            self.may_have_unread = True
            self._unread_since = now

    def on_reading_resumed(self, sock: SocketWithOptions) -> None:
        """Record that the connection is read again. If its socket is empty, the next data comes later."""
        self.may_have_unread = self.may_have_unread and socket_state.has_unread_data(sock)

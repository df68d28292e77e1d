"""Send responses as far as HTTP/2's flow control allows, and keep the rest until it allows more."""

from __future__ import annotations

from dataclasses import dataclass

import h2.connection
import h2.exceptions

from apigateway.frontends.grpc.call_headers import Headers

# What h2 raises for a stream that it has closed, or closed and forgotten.
CLOSED_STREAM_ERRORS = (h2.exceptions.NoSuchStreamError, h2.exceptions.StreamIDTooLowError)


@dataclass(slots=True)
class PendingResponse:
    """What has no window yet."""

    data: bytes
    trailers: Headers | None  # once the response has ended


class ResponseWriter:
    """The responses of one connection that are not sent whole."""

    def __init__(self, connection: h2.connection.H2Connection) -> None:
        self._connection = connection
        self.pending: dict[int, PendingResponse] = {}  # by stream id
        self.unsent_bytes = 0

    def write(self, stream_id: int, data: bytes, trailers: Headers | None) -> None:
        """Send a part of a response behind what is pending of it; trailers end it."""
        self.unsent_bytes += len(data)
        pending = self.pending.get(stream_id)
        if pending is None:
            self.pending[stream_id] = PendingResponse(data, trailers)
        else:
            pending.data += data
            pending.trailers = trailers
        self._send(stream_id)

    def flush(self) -> None:
        """Send what the windows let through now."""
        for stream_id in list(self.pending):
            self._send(stream_id)

    def discard(self, stream_id: int) -> None:
        """Forget what is pending of a response."""
        pending = self.pending.pop(stream_id, None)
        if pending is not None:
            self.unsent_bytes -= len(pending.data)

    def clear(self) -> None:
        """Forget all that is pending."""
        self.pending.clear()
        self.unsent_bytes = 0

    def _send(self, stream_id: int) -> None:
        pending = self.pending[stream_id]
        data = pending.data
        try:
            while data and (window := self._window(stream_id)) > 0:
                self._connection.send_data(stream_id, data[:window])
                self.unsent_bytes -= min(window, len(data))
                data = data[window:]
            if data:
                pending.data = data
                return
            del self.pending[stream_id]
            if pending.trailers is not None:
                self._connection.send_headers(stream_id, pending.trailers, end_stream=True)
        except CLOSED_STREAM_ERRORS:  # its reset was read with what opened the window
            self.unsent_bytes -= len(data)
            self.pending.pop(stream_id, None)

    def _window(self, stream_id: int) -> int:
        """Return the bytes that one DATA frame may have now."""
        window = self._connection.local_flow_control_window(stream_id)
        return int(min(window, self._connection.max_outbound_frame_size))

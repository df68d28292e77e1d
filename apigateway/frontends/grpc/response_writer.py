"""Send responses as far as HTTP/2 flow control allows, and buffer the rest."""

from __future__ import annotations

from dataclasses import dataclass

import h2.connection
import h2.exceptions

from apigateway.frontends.grpc.call_headers import Headers

# Raised by h2 for a stream that is closed, or closed and removed from its state.
CLOSED_STREAM_ERRORS = (h2.exceptions.NoSuchStreamError, h2.exceptions.StreamIDTooLowError)


@dataclass(slots=True)
class PendingResponse:
    """The rest of a response that waits for flow control."""

    data: bytes
    trailers: Headers | None  # None until the response has ended


class ResponseWriter:
    """Sends the responses of one connection and buffers what flow control does not allow yet."""

    def __init__(self, connection: h2.connection.H2Connection) -> None:
        self._connection = connection
        self.pending: dict[int, PendingResponse] = {}  # by stream id
        self.unsent_bytes = 0

    def write(self, stream_id: int, data: bytes, trailers: Headers | None) -> None:
        """Send a part of a response after its pending data. Trailers end the response."""
        self.unsent_bytes += len(data)
        pending = self.pending.get(stream_id)
        if pending is None:
            self.pending[stream_id] = PendingResponse(data, trailers)
        else:
            pending.data += data
            pending.trailers = trailers
        self._send(stream_id)

    def flush(self) -> None:
        """Send as much pending data as the flow control windows allow."""
        for stream_id in list(self.pending):
            self._send(stream_id)

    def discard(self, stream_id: int) -> None:
        """Discard the pending data of a response."""
        pending = self.pending.pop(stream_id, None)
        if pending is not None:
            self.unsent_bytes -= len(pending.data)

    def clear(self) -> None:
        """Discard all pending data."""
        self.pending.clear()
        self.unsent_bytes = 0

    def _send(self, stream_id: int) -> None:
        pending = self.pending[stream_id]
        data = pending.data
        try:
            while data and (window := self._max_frame_bytes(stream_id)) > 0:
                self._connection.send_data(stream_id, data[:window])
                self.unsent_bytes -= min(window, len(data))
                data = data[window:]
            if data:
                pending.data = data
                return
            del self.pending[stream_id]
            if pending.trailers is not None:
                self._connection.send_headers(stream_id, pending.trailers, end_stream=True)
        except CLOSED_STREAM_ERRORS:  # the stream was reset by the same bytes that opened the window
            self.unsent_bytes -= len(data)
            self.pending.pop(stream_id, None)

    def _max_frame_bytes(self, stream_id: int) -> int:
        """Return the number of bytes that the next DATA frame may carry."""
        window = self._connection.local_flow_control_window(stream_id)
        return int(min(window, self._connection.max_outbound_frame_size))

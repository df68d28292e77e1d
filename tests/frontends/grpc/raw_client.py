"""A gRPC client of plain h2, which can send a call after it has acknowledged the PING of a drain."""

import asyncio

import h2.config
import h2.connection
import h2.events

from apigateway.frontends.grpc.server_session import DRAIN_PING_DATA
from apigateway.upstream.rpc import GoAwayFilter


class RawClient:
    """One connection; calls are sent when the test says so."""

    def __init__(self):
        self.connection = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding=None))
        self.goaway_filter = GoAwayFilter()
        self.last_stream_ids = []  # of the GOAWAY frames received
        self.is_drain_acknowledged = False
        self.statuses = {}  # of calls by stream: the gRPC status, or the error code of a reset
        self.is_closed = False

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.connection.initiate_connection()
        self.flush()

    def flush(self):
        self.writer.write(self.connection.data_to_send())

    def open_call(self, path, message):
        """Return the stream of a new call and its bytes, which are not sent yet."""
        self.flush()
        stream_id = self.connection.get_next_available_stream_id()
        headers = {
            b":method": b"POST",
            b":scheme": b"http",
            b":path": path.encode(),
            b":authority": b"gateway",
            b"te": b"trailers",
            b"content-type": b"application/grpc",
        }
        self.connection.send_headers(stream_id, list(headers.items()))
        data = b"\0" + len(message).to_bytes(4, "big") + message
        self.connection.send_data(stream_id, data, end_stream=True)
        return stream_id, self.connection.data_to_send()

    async def read_until(self, is_done):
        """Read until `is_done` returns true or the server closes the connection."""
        while not is_done():
            data = await self.reader.read(65536)
            if not data:
                self.is_closed = True
                return
            data, last_stream_id = self.goaway_filter.feed(data)
            if last_stream_id is not None:
                self.last_stream_ids.append(last_stream_id)
            for event in self.connection.receive_data(data):
                self.on_event(event)
            self.flush()

    def on_event(self, event):
        match event:
            case h2.events.PingReceived():
                self.is_drain_acknowledged |= event.ping_data == DRAIN_PING_DATA
            case h2.events.TrailersReceived() | h2.events.ResponseReceived():
                headers = dict(event.headers)
                if b"grpc-status" in headers:
                    self.statuses[event.stream_id] = int(headers[b"grpc-status"])
            case h2.events.StreamReset():
                self.statuses.setdefault(event.stream_id, event.error_code)

    async def call(self, path, message):
        """Make a call and return its gRPC status."""
        stream_id, data = self.open_call(path, message)
        self.writer.write(data)
        await self.read_until(lambda: stream_id in self.statuses)
        return self.statuses[stream_id]

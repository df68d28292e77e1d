"""An emulated rate limit service (Envoy's rls.proto over gRPC) with scripted faults.

It may be slow or silent, answer with wrong codes or many OVER_LIMIT, reset streams, and send GOAWAY while
requests are open. Its HTTP/2 comes from h2, and it uses none of the gateway's code.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import defaultdict

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from envoy.service.ratelimit.v3 import rls_pb2 as pb
from hyperframe.frame import GoAwayFrame

from apigateway.emulators.listener import Listener
from apigateway.emulators.script import Script, Step, StepKind

OK = pb.RateLimitResponse.OK
OVER_LIMIT = pb.RateLimitResponse.OVER_LIMIT
MAX_STREAM_ID = 2**31 - 1
STREAM_ID_STEP = 2  # between the ids of streams that a client opens
MESSAGE_PREFIX_BYTES = 5  # of a gRPC message: compression flag and length
READ_BYTES = 65536
INTERNAL = "13"  # gRPC status
RESPONSE_HEADERS = [(":status", "200"), ("content-type", "application/grpc")]
MALFORMED_MESSAGE = b"\xff\xff\xff"
UNANSWERED_KINDS = (StepKind.GOAWAY, StepKind.SILENT, StepKind.BUSY)


class EmulatedRateLimitService(Listener):
    """Counts hits against limits and answers by its script.

    Attributes:
        limits: The remaining hits of each customer, the value of the entry `key`; others have no limit.
        max_concurrent_streams: The announced MAX_CONCURRENT_STREAMS.
        reset_s: The `duration_until_reset` of OVER_LIMIT answers; 0 means none.
        decided_requests: The requests whose answer was decided, in order.
        timeouts: The `grpc-timeout` of each call.
        hits: The counted hits of each customer.
        reset_streams: The number of streams that the caller has reset.
        arrivals: Each request as it arrives.
    """

    def __init__(
        self,
        limits: dict[str, int] | None = None,
        key: str = "customer",
        max_concurrent_streams: int = 100,
        reset_s: float = 0.0,
    ) -> None:
        super().__init__()
        self.limits = dict(limits or {})
        self.key = key
        self.max_concurrent_streams = max_concurrent_streams
        self.reset_s = reset_s
        self.script = Script()
        self.decided_requests: list[pb.RateLimitRequest] = []
        self.timeouts: list[bytes] = []
        self.hits: dict[str, int] = defaultdict(int)
        self.reset_streams = 0
        self.arrivals: asyncio.Queue[pb.RateLimitRequest] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        await RateLimitConnection(self, reader, writer).run()

    def decide(self, request: pb.RateLimitRequest, step: Step) -> pb.RateLimitResponse:
        """Count a request's hits and return the answer."""
        response = pb.RateLimitResponse(overall_code=OK)
        for descriptor in request.descriptors:
            has_own_hits = descriptor.HasField("hits_addend")
            count = descriptor.hits_addend.value if has_own_hits else request.hits_addend or 1
            name = next((entry.value for entry in descriptor.entries if entry.key == self.key), "")
            over = step.kind == StepKind.OVER_LIMIT or self.limits.get(name, count) < count
            if not over and name in self.limits:
                self.limits[name] -= count
            self.hits[name] += count
            status = response.statuses.add(code=OVER_LIMIT if over else OK)
            if over:
                response.overall_code = OVER_LIMIT
                if self.reset_s:
                    status.duration_until_reset.FromNanoseconds(int(self.reset_s * 1e9))
        if step.kind == StepKind.NO_CODE:
            response.overall_code = pb.RateLimitResponse.UNKNOWN
        return response


class RateLimitConnection:
    """One connection of a rate limit service, which handles the events of h2."""

    def __init__(
        self, service: EmulatedRateLimitService, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._service = service
        self._reader = reader
        self._writer = writer
        self._connection = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding=None)
        )
        self._connection.local_settings = h2.settings.Settings(
            client=False,
            initial_values={h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: service.max_concurrent_streams},
        )
        self._bodies: dict[int, bytearray] = {}  # of the requests being received, by stream
        self._last_stream = MAX_STREAM_ID  # requests on later streams are ignored, after a GOAWAY
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Handle received data until the connection ends."""
        self._connection.initiate_connection()
        self._flush()
        try:
            while data := await self._reader.read(READ_BYTES):
                for event in self._connection.receive_data(data):
                    self._on_event(event)
                self._flush()
        except h2.exceptions.ProtocolError:
            self._flush()
        finally:
            for task in self._tasks:
                task.cancel()

    def _flush(self) -> None:
        if not self._writer.is_closing():
            self._writer.write(self._connection.data_to_send())

    def _on_event(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.RequestReceived():
                self._bodies[event.stream_id or 0] = bytearray()
                headers = dict(event.headers or ())
                self._service.timeouts.append(bytes(headers.get(b"grpc-timeout", b"")))
            case h2.events.DataReceived():
                self._bodies[event.stream_id or 0] += event.data or b""
                self._connection.acknowledge_received_data(
                    event.flow_controlled_length or 0, event.stream_id or 0
                )
            case h2.events.StreamReset():
                self._bodies.pop(event.stream_id or 0, None)
                self._service.reset_streams += 1
            case h2.events.StreamEnded():
                stream = event.stream_id or 0
                body = self._bodies.pop(stream, None)
                task = asyncio.get_running_loop().create_task(self._on_request(stream, body))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _on_request(self, stream: int, body: bytearray | None) -> None:
        if body is None or stream > self._last_stream:
            return
        service = self._service
        request = pb.RateLimitRequest.FromString(bytes(body[MESSAGE_PREFIX_BYTES:]))
        step = service.script.next(time.monotonic())
        if step.kind not in UNANSWERED_KINDS:
            service.decided_requests.append(request)
        service.arrivals.put_nowait(request)
        if step.kind == StepKind.STALL:
            await asyncio.sleep(step.delay_s)
        with contextlib.suppress(h2.exceptions.ProtocolError):  # the stream was reset or is closed
            self._answer(stream, request, step)
        self._flush()
        if step.kind == StepKind.TRUNCATED:
            self._writer.close()

    def _answer(self, stream: int, request: pb.RateLimitRequest, step: Step) -> None:
        """Answer a request as the script's step says."""
        connection = self._connection
        match step.kind:
            case StepKind.SILENT:
                return
            case StepKind.RESET:
                connection.reset_stream(stream, h2.errors.ErrorCodes.INTERNAL_ERROR)
            case StepKind.BUSY:  # not processed
                connection.reset_stream(stream, h2.errors.ErrorCodes.REFUSED_STREAM)
            case StepKind.ERROR:
                failure = [("grpc-status", INTERNAL), ("grpc-message", "it failed")]
                connection.send_headers(stream, [*RESPONSE_HEADERS, *failure], end_stream=True)
            case StepKind.GOAWAY:  # this request and later ones are not processed
                self._last_stream = max(0, stream - STREAM_ID_STEP)
                self._writer.write(connection.data_to_send())
                goaway = GoAwayFrame(0, last_stream_id=self._last_stream, error_code=0)
                self._writer.write(goaway.serialize())
            case _:
                message = _message(self._service.decide(request, step), step)
                connection.send_headers(stream, RESPONSE_HEADERS)
                if step.kind == StepKind.TRUNCATED:
                    connection.send_data(stream, message[:-1])
                    return
                connection.send_data(stream, message)
                connection.send_headers(stream, [("grpc-status", "0")], end_stream=True)


def _message(response: pb.RateLimitResponse, step: Step) -> bytes:
    """Return the response as an uncompressed gRPC message."""
    body = MALFORMED_MESSAGE if step.kind == StepKind.MALFORMED else response.SerializeToString()
    return b"\0" + len(body).to_bytes(4, "big") + body

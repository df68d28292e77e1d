"""A stand-in rate limit service (Envoy's rls.proto over gRPC), scripted: slow, silent, wrong codes, streams
reset, GOAWAY in the middle, storms of OVER_LIMIT. Its HTTP/2 is h2's; nothing of it is the gateway's code."""

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
from apigateway.emulators.script import Script, Step

OK, OVER = pb.RateLimitResponse.OK, pb.RateLimitResponse.OVER_LIMIT
LAST = 2**31 - 1


class StandInRateLimit(Listener):
    """`limits`: hits left by customer, the value of the entry `key`; others have no limit. `questions` are
    those whose answer was decided, in order. With `reset_s` an answer of OVER_LIMIT names that time."""

    def __init__(
        self,
        limits: dict[str, int] | None = None,
        key: str = "customer",
        most_streams: int = 100,
        reset_s: float = 0.0,
    ) -> None:
        super().__init__()
        self.limits, self.key, self.most_streams = dict(limits or {}), key, most_streams
        self.reset_s = reset_s
        self.script = Script()
        self.questions: list[pb.RateLimitRequest] = []
        self.timeouts: list[bytes] = []  # as told in grpc-timeout
        self.hits: dict[str, int] = defaultdict(int)  # counted, by customer
        self.called_off = 0
        self.arrived: asyncio.Queue[pb.RateLimitRequest] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await Served(self, reader, writer).run()

    def decide(self, request: pb.RateLimitRequest, step: Step) -> pb.RateLimitResponse:
        response = pb.RateLimitResponse(overall_code=OK)
        for descriptor in request.descriptors:
            own = descriptor.HasField("hits_addend")
            count = descriptor.hits_addend.value if own else request.hits_addend or 1
            name = next((entry.value for entry in descriptor.entries if entry.key == self.key), "")
            over = step.kind == "over" or self.limits.get(name, count) < count
            if not over and name in self.limits:
                self.limits[name] -= count
            self.hits[name] += count
            status = response.statuses.add(code=OVER if over else OK)
            if over:
                response.overall_code = OVER
                if self.reset_s:
                    status.duration_until_reset.FromNanoseconds(int(self.reset_s * 1e9))
        if step.kind == "odd":
            response.overall_code = pb.RateLimitResponse.UNKNOWN
        return response


class Served:
    """One connection."""

    def __init__(
        self, service: StandInRateLimit, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.service, self.reader, self.writer = service, reader, writer
        self.conn = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding=None)
        )
        self.conn.local_settings = h2.settings.Settings(
            client=False,
            initial_values={h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: service.most_streams},
        )
        self.data: dict[int, bytearray] = {}
        self.last = LAST  # stream that is looked at
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        self.conn.initiate_connection()
        self.write()
        try:
            while data := await self.reader.read(65536):
                for event in self.conn.receive_data(data):
                    self.happened(event)
                self.write()
        except h2.exceptions.ProtocolError:
            self.write()
        finally:
            for task in self.tasks:
                task.cancel()

    def write(self) -> None:
        if not self.writer.is_closing():
            self.writer.write(self.conn.data_to_send())

    def happened(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.RequestReceived():
                self.data[event.stream_id or 0] = bytearray()
                told = dict(event.headers or ())
                self.service.timeouts.append(bytes(told.get(b"grpc-timeout", b"")))
            case h2.events.DataReceived():
                self.data[event.stream_id or 0] += event.data or b""
                self.conn.acknowledge_received_data(event.flow_controlled_length or 0, event.stream_id or 0)
            case h2.events.StreamReset():
                self.data.pop(event.stream_id or 0, None)
                self.service.called_off += 1
            case h2.events.StreamEnded():
                number = event.stream_id or 0
                task = asyncio.get_running_loop().create_task(self.asked(number, self.data.pop(number, None)))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def asked(self, number: int, data: bytearray | None) -> None:
        if data is None or number > self.last:
            return
        service, request = self.service, pb.RateLimitRequest.FromString(bytes(data[5:]))
        step = service.script.next(time.monotonic())
        if step.kind not in ("goaway", "silent", "busy"):
            service.questions.append(request)
        service.arrived.put_nowait(request)
        if step.kind == "stall":
            await asyncio.sleep(step.delay)
        with contextlib.suppress(h2.exceptions.ProtocolError):  # it was called off, or is closed
            self.answer(number, request, step)
        self.write()
        if step.kind == "half":
            self.writer.close()

    def answer(self, number: int, request: pb.RateLimitRequest, step: Step) -> None:
        head = [(":status", "200"), ("content-type", "application/grpc")]
        if step.kind == "silent":
            return
        if step.kind == "reset":
            self.conn.reset_stream(number, h2.errors.ErrorCodes.INTERNAL_ERROR)
        elif step.kind == "busy":  # never looked at
            self.conn.reset_stream(number, h2.errors.ErrorCodes.REFUSED_STREAM)
        elif step.kind == "error":
            self.conn.send_headers(
                number, [*head, ("grpc-status", "13"), ("grpc-message", "it failed")], end_stream=True
            )
        elif step.kind == "goaway":  # this one, and what follows it, was not looked at
            self.last = max(0, number - 2)
            self.writer.write(self.conn.data_to_send())
            self.writer.write(GoAwayFrame(0, last_stream_id=self.last, error_code=0).serialize())
        else:
            message = service_bytes(self.service.decide(request, step), step)
            self.conn.send_headers(number, head)
            if step.kind == "half":
                self.conn.send_data(number, message[:-1])
                return
            self.conn.send_data(number, message)
            self.conn.send_headers(number, [("grpc-status", "0")], end_stream=True)


def service_bytes(response: pb.RateLimitResponse, step: Step) -> bytes:
    message = b"\xff\xff\xff" if step.kind == "spoilt" else response.SerializeToString()
    return b"\0" + len(message).to_bytes(4, "big") + message

"""Which gRPC server costs least on this project's loop? For docs/design/grpc.md.

    python benchmarks/grpc_servers.py [--calls 20000] [--rounds 3] [--json FILE]

Needs grpcio, grpclib, h2 and xds-protos, of which the gateway itself needs the last two.

Each server answers ShouldRateLimit by parsing the request and building a response of one status, on uvloop,
on one core: grpcio's aio server, grpclib's, and a small one of h2 alone (`Protocol` callbacks, no task a
call). A client in another process, grpcio's, has so many calls in flight over two channels. CPU a call is
what the kernel booked to the server; memory after the rounds; threads that the server runs."""

from __future__ import annotations

import argparse
import json
import os
import signal
import statistics
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "benchmarks"))

from request_cost import cpu, memory  # noqa: E402

from apigateway.emulators.ports import free_port  # noqa: E402

METHOD = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"
COMMON = """
import asyncio, sys, uvloop
from envoy.service.ratelimit.v3 import rls_pb2 as pb
PORT, METHOD = int(sys.argv[1]), sys.argv[2]
def answer(request):
    response = pb.RateLimitResponse(overall_code=1)
    status = response.statuses.add()
    status.code, status.limit_remaining = 1, 5
    return response
"""
SERVERS = {
    "grpcio": COMMON
    + """
import grpc
async def call(request, context):
    return answer(request)
async def main():
    server = grpc.aio.server()
    service, method = METHOD[1:].split("/")
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(service, {
        method: grpc.unary_unary_rpc_method_handler(
            call, pb.RateLimitRequest.FromString,
            pb.RateLimitResponse.SerializeToString)}),))
    server.add_insecure_port("127.0.0.1:%d" % PORT)
    await server.start()
    print("up", flush=True)
    await server.wait_for_termination()
uvloop.run(main())
""",
    "grpclib": COMMON
    + """
from grpclib.const import Cardinality, Handler
from grpclib.server import Server
class Service:
    async def call(self, stream):
        await stream.send_message(answer(await stream.recv_message()))
    def __mapping__(self):
        return {METHOD: Handler(self.call, Cardinality.UNARY_UNARY, pb.RateLimitRequest,
                                pb.RateLimitResponse)}
async def main():
    server = Server([Service()])
    await server.start("127.0.0.1", PORT)
    print("up", flush=True)
    await server.wait_closed()
uvloop.run(main())
""",
    "h2": COMMON
    + """
import h2.config, h2.connection, h2.events
class Line(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport, self.data = transport, {}
        self.conn = h2.connection.H2Connection(h2.config.H2Configuration(
            client_side=False, header_encoding=None, validate_inbound_headers=False,
            validate_outbound_headers=False, normalize_outbound_headers=False))
        self.conn.initiate_connection()
        transport.write(self.conn.data_to_send())
    def data_received(self, data):
        for event in self.conn.receive_data(data):
            if type(event) is h2.events.RequestReceived:
                self.data[event.stream_id] = b""
            elif type(event) is h2.events.DataReceived:
                self.data[event.stream_id] += event.data
                self.conn.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            if getattr(event, "stream_ended", None) or type(event) is h2.events.StreamEnded:
                body = self.data.pop(event.stream_id, None)
                if body is None:
                    continue
                told = answer(pb.RateLimitRequest.FromString(body[5:])).SerializeToString()
                self.conn.send_headers(event.stream_id, [(b":status", b"200"),
                                                         (b"content-type", b"application/grpc")])
                self.conn.send_data(event.stream_id, b"\\0" + len(told).to_bytes(4, "big") + told)
                self.conn.send_headers(event.stream_id, [(b"grpc-status", b"0")], end_stream=True)
        self.transport.write(self.conn.data_to_send())
async def main():
    await asyncio.get_running_loop().create_server(Line, "127.0.0.1", PORT)
    print("up", flush=True)
    await asyncio.Event().wait()
uvloop.run(main())
""",
}
CLIENT = """
import asyncio, sys, time, grpc
from envoy.service.ratelimit.v3 import rls_pb2 as pb
PORT, METHOD, CALLS, FLIGHT = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), 32
async def main():
    request = pb.RateLimitRequest(domain="payroll")
    descriptor = request.descriptors.add()
    for key, value in (("customer", "00000000000000ff"), ("plan", "basic")):
        descriptor.entries.add(key=key, value=value)
    took, left = [], CALLS
    channels = [grpc.aio.insecure_channel("127.0.0.1:%d" % PORT, [("grpc.use_local_subchannel_pool", 1)])
                for _ in range(2)]
    calls = [c.unary_unary(METHOD, pb.RateLimitRequest.SerializeToString, pb.RateLimitResponse.FromString)
             for c in channels]
    async def line(call):
        nonlocal left
        while left > 0:
            left -= 1
            began = time.monotonic()
            response = await call(request, timeout=5)
            assert response.statuses[0].limit_remaining == 5
            took.append(time.monotonic() - began)
    await asyncio.gather(*(line(calls[n % 2]) for n in range(FLIGHT)))
    took.sort()
    print(took[len(took) // 2] * 1e3, took[int(len(took) * 0.99)] * 1e3)
asyncio.run(main())
"""


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", metavar="FILE")
    told = parser.parse_args()
    cores = sorted(os.sched_getaffinity(0))
    figures: dict[str, dict[str, float]] = {}
    print(f"{'server':10} {'CPU us':>7} {'p50 ms':>7} {'p99 ms':>7} {'MB':>6} {'threads':>8}")
    for name, text in SERVERS.items():
        port = free_port()
        server = subprocess.Popen([sys.executable, "-c", text, str(port), METHOD], stdout=subprocess.PIPE)
        assert server.stdout is not None and server.stdout.readline() == b"up\n"
        os.sched_setaffinity(server.pid, {cores[1 % len(cores)]})
        rows = []
        for number in range(told.rounds + 1):
            before = cpu(server.pid)
            ended = subprocess.run(
                [sys.executable, "-c", CLIENT, str(port), METHOD, str(told.calls)],
                capture_output=True,
                text=True,
                timeout=300,
                check=True,
            )
            p50, p99 = map(float, ended.stdout.split())
            if number:  # the first warms up
                rows.append(((cpu(server.pid) - before) / told.calls * 1e6, p50, p99))
        us, p50, p99 = (statistics.median(column) for column in zip(*rows, strict=True))
        threads = len(os.listdir(f"/proc/{server.pid}/task"))
        figures[name] = {"us": us, "p50": p50, "p99": p99, "kb": memory(server.pid), "threads": threads}
        print(
            f"{name:10} {us:7.1f} {p50:7.2f} {p99:7.2f} {figures[name]['kb'] / 1024:6.1f} {threads:8d}",
            flush=True,
        )
        server.send_signal(signal.SIGKILL)
        server.wait()
    if told.json:
        Path(told.json).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()

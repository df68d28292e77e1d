"""Compares the CPU cost of gRPC servers on uvloop. For docs/design/grpc.md.

    python benchmarks/grpc_servers.py [--calls 20000] [--rounds 3] [--json FILE]

Requires grpcio, grpclib, h2 and xds-protos. The gateway itself requires only the last two.

Each server answers ShouldRateLimit: it parses the request and builds a response with one status, on uvloop,
on one core. The servers are those of grpcio (aio) and grpclib, and a minimal one on h2 (`Protocol` callbacks,
no task per call). A grpcio client in another process has 32 calls in flight over two channels. The CPU time
per call is the server's process time as the kernel reports it; memory and threads of the server are read
after the last round.
"""

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

from request_cost import cpu_seconds, memory_kb  # noqa: E402

from apigateway.emulators.ports import free_port  # noqa: E402

METHOD = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"
COMMON_CODE = """
import asyncio, sys, uvloop
from envoy.service.ratelimit.v3 import rls_pb2 as pb
PORT, METHOD = int(sys.argv[1]), sys.argv[2]
def answer(request):
    response = pb.RateLimitResponse(overall_code=1)
    status = response.statuses.add()
    status.code, status.limit_remaining = 1, 5
    return response
"""
SERVER_CODE = {
    "grpcio": COMMON_CODE
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
    "grpclib": COMMON_CODE
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
    "h2": COMMON_CODE
    + """
import h2.config, h2.connection, h2.events
class Connection(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport, self.bodies = transport, {}
        self.connection = h2.connection.H2Connection(h2.config.H2Configuration(
            client_side=False, header_encoding=None, validate_inbound_headers=False,
            validate_outbound_headers=False, normalize_outbound_headers=False))
        self.connection.initiate_connection()
        transport.write(self.connection.data_to_send())
    def data_received(self, data):
        for event in self.connection.receive_data(data):
            if type(event) is h2.events.RequestReceived:
                self.bodies[event.stream_id] = b""
            elif type(event) is h2.events.DataReceived:
                self.bodies[event.stream_id] += event.data
                self.connection.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            if getattr(event, "stream_ended", None) or type(event) is h2.events.StreamEnded:
                body = self.bodies.pop(event.stream_id, None)
                if body is None:
                    continue
                reply = answer(pb.RateLimitRequest.FromString(body[5:])).SerializeToString()
                self.connection.send_headers(event.stream_id, [(b":status", b"200"),
                                                         (b"content-type", b"application/grpc")])
                self.connection.send_data(event.stream_id, b"\\0" + len(reply).to_bytes(4, "big") + reply)
                self.connection.send_headers(event.stream_id, [(b"grpc-status", b"0")], end_stream=True)
        self.transport.write(self.connection.data_to_send())
async def main():
    await asyncio.get_running_loop().create_server(Connection, "127.0.0.1", PORT)
    print("up", flush=True)
    await asyncio.Event().wait()
uvloop.run(main())
""",
}
CLIENT_CODE = """
import asyncio, sys, time, grpc
from envoy.service.ratelimit.v3 import rls_pb2 as pb
PORT, METHOD, CALLS, IN_FLIGHT = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), 32
async def main():
    request = pb.RateLimitRequest(domain="payroll")
    descriptor = request.descriptors.add()
    for key, value in (("customer", "00000000000000ff"), ("plan", "basic")):
        descriptor.entries.add(key=key, value=value)
    latencies, unsent = [], CALLS
    channels = [grpc.aio.insecure_channel("127.0.0.1:%d" % PORT, [("grpc.use_local_subchannel_pool", 1)])
                for _ in range(2)]
    calls = [channel.unary_unary(METHOD, pb.RateLimitRequest.SerializeToString,
                                 pb.RateLimitResponse.FromString)
             for channel in channels]
    async def send_calls(call):
        nonlocal unsent
        while unsent > 0:
            unsent -= 1
            started_at = time.monotonic()
            response = await call(request, timeout=5)
            assert response.statuses[0].limit_remaining == 5
            latencies.append(time.monotonic() - started_at)
    await asyncio.gather(*(send_calls(calls[n % 2]) for n in range(IN_FLIGHT)))
    latencies.sort()
    print(latencies[len(latencies) // 2] * 1e3, latencies[int(len(latencies) * 0.99)] * 1e3)
asyncio.run(main())
"""


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", metavar="FILE")
    args = parser.parse_args()
    cores = sorted(os.sched_getaffinity(0))
    figures: dict[str, dict[str, float]] = {}
    print(f"{'server':10} {'CPU us':>7} {'p50 ms':>7} {'p99 ms':>7} {'MB':>6} {'threads':>8}")
    for name, code in SERVER_CODE.items():
        port = free_port()
        server = subprocess.Popen([sys.executable, "-c", code, str(port), METHOD], stdout=subprocess.PIPE)
        assert server.stdout is not None and server.stdout.readline() == b"up\n"
        os.sched_setaffinity(server.pid, {cores[1 % len(cores)]})
        rows = []
        for round_number in range(args.rounds + 1):
            before = cpu_seconds(server.pid)
            client = subprocess.run(
                [sys.executable, "-c", CLIENT_CODE, str(port), METHOD, str(args.calls)],
                capture_output=True,
                text=True,
                timeout=300,
                check=True,
            )
            p50, p99 = map(float, client.stdout.split())
            if round_number:  # the first round is a warm-up
                rows.append(((cpu_seconds(server.pid) - before) / args.calls * 1e6, p50, p99))
        us, p50, p99 = (statistics.median(column) for column in zip(*rows, strict=True))
        threads = len(os.listdir(f"/proc/{server.pid}/task"))
        figures[name] = {"us": us, "p50": p50, "p99": p99, "kb": memory_kb(server.pid), "threads": threads}
        print(
            f"{name:10} {us:7.1f} {p50:7.2f} {p99:7.2f} {figures[name]['kb'] / 1024:6.1f} {threads:8d}",
            flush=True,
        )
        server.send_signal(signal.SIGKILL)
        server.wait()
    if args.json:
        Path(args.json).write_text(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()

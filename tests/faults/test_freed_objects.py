"""What has ended is freed at once by reference counts, with the garbage collector off."""

import asyncio
import contextlib
import gc
import socket
import struct
from collections import Counter

import pytest
from gateway_harness import (
    PING,
    EmulatedHost,
    GatewayHarness,
    make_command,
    make_write_command,
    read_reply,
    run_on_uvloop,
)

from apigateway.emulators.hosts import BUSY, ERROR, MALFORMED
from apigateway.emulators.script import Script, Step

ROUNDS = 10
CONNECTIONS = 100  # in each round
CLOSE_ITERATIONS = 10  # of the event loop, more than it needs to close a transport whose connection is lost
# Instances beyond those before: what is still open at the end, and tables of a fixed size.
MAX_GROWTH = 20
RESET = struct.pack("ii", 1, 0)
SHORT_FIELDS = b"c=read,t=p,d=60,units=1,spread=1,first=0"
OWN_PACKAGES = ("apigateway.core", "apigateway.frontends", "apigateway.upstream", "apigateway.policy")
LOOP_TYPES = ("uvloop.loop.TCPTransport", "_asyncio.Task", "builtins.coroutine")


@contextlib.contextmanager
def collector_off():
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def count_instances(emulators):
    """Count objects by type, but for the emulators' transports, which their writers keep."""
    kept = {id(writer.transport) for emulator in emulators for writer in emulator.writers}
    objects = (one for one in gc.get_objects() if id(one) not in kept)
    names = (f"{type(one).__module__}.{type(one).__qualname__}" for one in objects)
    return Counter(name for name in names if name.startswith(OWN_PACKAGES) or name in LOOP_TYPES)


def close_with_reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


async def get_answer(reader, writer, command):
    writer.write(command)
    reply = await read_reply(reader)
    writer.close()
    return reply


async def get_ping(reader, writer, number):
    assert await get_answer(reader, writer, PING) == b"+PONG\r\n"


async def get_value(reader, writer, number):
    assert await get_answer(reader, writer, make_command(b"v%d" % number))


async def get_large_write_in_pieces(reader, writer, number):
    fields = b"c=write,t=p,d=3000,k=%d,units=1,spread=1,first=0" % number
    command = make_command(b"w%d" % number, fields, b"API.WRITE", body=bytes(60_000))
    writer.write(command[:30_000])
    await writer.drain()
    assert await get_answer(reader, writer, command[30_000:])


async def get_error(reader, writer, number):
    assert await get_answer(reader, writer, make_command(b"e%d" % number, b"c=none"))


async def get_protocol_error(reader, writer, number):
    assert await get_answer(reader, writer, b"?\r\n") == b"-ERR protocol error\r\n"


async def reset_with_request_out(reader, writer, number):
    writer.write(make_write_command(b"o%d" % number))
    await writer.drain()
    close_with_reset(writer)


async def leave_half_a_command(reader, writer, number):
    writer.write(make_write_command(b"p%d" % number)[:-5])
    await writer.drain()
    writer.close()


async def close_sending_side(reader, writer, number):
    writer.write(make_command(b"h%d" % number))
    writer.write_eof()
    await reader.read()
    writer.close()


async def run_out_of_time(reader, writer, number):
    await get_answer(reader, writer, make_command(b"t%d" % number, SHORT_FIELDS))


async def be_drained(reader, writer, number):
    writer.write(PING)
    await read_reply(reader)


CASES = {
    "answered": (get_value, {}),
    "answered-in-pieces": (get_large_write_in_pieces, {}),
    "ping": (get_ping, {}),
    "refused": (get_error, {}),
    "busy-hosts": (get_value, {"answer": BUSY}),
    "failing-hosts": (get_value, {"answer": ERROR}),
    "spoilt-answers": (get_value, {"answer": MALFORMED}),
    "hosts-that-reset": (get_value, {"script": Script([Step("reset")])}),
    "failed": (get_protocol_error, {}),
    "reset": (reset_with_request_out, {"script": Script([Step("silent")])}),
    "half-a-command": (leave_half_a_command, {}),
    "half-closed": (close_sending_side, {}),
    "timed-out": (run_out_of_time, {"script": Script([Step("silent")])}),
    "evicted": (be_drained, {}),
    "drained": (be_drained, {}),
}


async def wait_until_none_is_open(harness):
    core = harness.server.core
    resp = harness.server.frontends[0].server
    upstream = harness.server.upstream
    while resp.connections or core.in_flight or upstream.closing:
        await asyncio.sleep(0.02)
    for pool in upstream.pools.values():
        pool.close_idle()
    while upstream.open_count:
        await asyncio.sleep(0.02)
    for _ in range(CLOSE_ITERATIONS):
        await asyncio.sleep(0)


async def play_round(harness, end_one, first, case):
    writers = []

    async def play(number):
        reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writers.append(writer)
        with contextlib.suppress(ConnectionError):
            await end_one(reader, writer, number)

    await asyncio.gather(*(play(first + number) for number in range(CONNECTIONS)))
    resp = harness.server.frontends[0].server
    if case == "drained":
        for connection in list(resp.connections):
            connection.close_when_answered()
    elif case == "evicted":
        while resp.connections:
            resp.memory_limits.evict()
            await asyncio.sleep(0)
    for writer in writers:
        writer.close()
    await asyncio.gather(*(writer.wait_closed() for writer in writers), return_exceptions=True)
    await wait_until_none_is_open(harness)


# Guards against rings of references, for which what has ended holds memory until a full collection.
@pytest.mark.parametrize("case", CASES)
@run_on_uvloop
async def test_objects_when_connections_and_requests_have_ended_then_are_freed(case, tmp_path):
    end_one, options = CASES[case]
    async with EmulatedHost(**options) as host, GatewayHarness(host, path=tmp_path) as harness:
        await play_round(harness, end_one, 0, case)
        with collector_off():
            emulators = (host, harness.counter)
            before = count_instances(emulators)
            for number in range(1, ROUNDS + 1):
                await play_round(harness, end_one, number * CONNECTIONS, case)
            grown = count_instances(emulators) - before
    assert {name: count for name, count in grown.items() if count > MAX_GROWTH} == {}

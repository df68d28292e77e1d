"""Floods of far more requests than a gateway process can serve.

Each request must get exactly one answer, in order, also during a shutdown or a reload.
"""

import asyncio
import re
import signal

import pytest
from gateway_harness import make_command, read_reply, run_on_uvloop
from local_deployment import LocalDeployment

FLOOD_SIZE = 4000  # commands in one write


def make_flood(name, count=FLOOD_SIZE):
    return b"".join(
        make_command(
            b"%s-%d" % (name, n),
            b"c=%s,t=p,d=3000,units=1,spread=1,first=0" % (b"dear" if n % 10 == 0 else b"read"),
        )
        for n in range(count)
    )


PRIORITY_CLASS = '\n[classes.dear]\neffect = "safe"\naim = 1.0\ndeadline = 3.0\nworth = 9.0\n'
# The lowest values allowed; how many requests are rejected depends on the speed of the machine.
EARLY_SHEDDING = "lag = 0.005\nturn = 0.05"


@pytest.mark.parametrize("overload", [EARLY_SHEDDING, "on = false"])
@run_on_uvloop
async def test_flood_is_answered_once_and_in_order_during_a_shutdown(overload, tmp_path):
    async with LocalDeployment(tmp_path) as deployment:
        deployment.write_settings(overload=overload, limits="max_open = 1000")
        deployment.settings_file.write_text(deployment.settings_file.read_text() + PRIORITY_CLASS)
        process = await deployment.start_gateway()
        connections = [await asyncio.open_connection("127.0.0.1", deployment.port) for _ in range(6)]
        for k, (_, writer) in enumerate(connections):
            writer.write(make_flood(b"%d" % k))
        first_replies = [await read_reply(reader) for reader, _ in connections]
        process.send_signal(signal.SIGTERM)
        count = 0
        for k, ((reader, writer), reply) in enumerate(zip(connections, first_replies, strict=True)):
            number = 0
            while reply:
                assert reply.endswith(b":%d-%d\r\n" % (k, number)) or re.fullmatch(
                    rb"-BUSY( \d+)?\r\n", reply
                )
                number, reply = number + 1, await read_reply(reader)
            assert number <= FLOOD_SIZE
            count += number
            writer.close()
        assert count >= 6 and await process.wait() == 0
        assert not any(host.running for host in deployment.hosts)


@run_on_uvloop
async def test_overload_protection_is_switched_by_reloads_under_load(tmp_path):
    async with LocalDeployment(tmp_path) as deployment:
        process = await deployment.start_gateway()
        reader, writer = await asyncio.open_connection("127.0.0.1", deployment.port)
        for n, overload in enumerate(["on = true", "on = false", "on = true\nturn = 0.1", "on = false"]):
            writer.write(make_flood(b"%d" % n, 500))
            await read_reply(reader)
            deployment.write_settings(overload=overload)
            process.send_signal(signal.SIGHUP)
            assert b"took effect: overload" in await deployment.wait_for_log_line(process, b"reload: ")
            for _ in range(499):
                assert (await read_reply(reader))[:1] in b"$-"
        deployment.write_settings(overload="lag = 3.0\nturn = 0.1")
        process.send_signal(signal.SIGHUP)
        await deployment.wait_for_log_line(process, b"overload.turn")
        assert b"rejected" in await deployment.wait_for_log_line(process, b"reload: ")
        writer.write(make_command(b"last"))
        assert (await read_reply(reader)).endswith(b":last\r\n")
        writer.close()

"""Far more than the core can do at once, at a gateway as an operator runs it: one answer for each request, in
order, and what is taken up or ended meanwhile is whole."""

import asyncio
import re
import signal

import pytest
from gateway_harness import make_command, read_reply, run_on_uvloop
from local_deployment import LocalDeployment

FLOOD = 4000  # commands in one write


def flood(name, count=FLOOD):
    return b"".join(
        make_command(
            b"%s-%d" % (name, n),
            b"c=%s,t=p,d=3000,units=1,spread=1,first=0" % (b"dear" if n % 10 == 0 else b"read"),
        )
        for n in range(count)
    )


DEAR = '\n[classes.dear]\neffect = "safe"\naim = 1.0\ndeadline = 3.0\nworth = 9.0\n'
SHEDS = "lag = 0.005\nturn = 0.05"  # the least: this machine's own speed decides how much is turned away


@pytest.mark.parametrize("overload", [SHEDS, "on = false"])
@run_on_uvloop
async def test_each_of_a_flood_is_answered_once_and_in_order_also_when_told_to_stop(overload, tmp_path):
    async with LocalDeployment(tmp_path) as site:
        site.write_settings(overload=overload, limits="max_open = 1000")
        site.settings_file.write_text(site.settings_file.read_text() + DEAR)
        program = await site.start_gateway()
        lines = [await asyncio.open_connection("127.0.0.1", site.port) for _ in range(6)]
        for k, (_, writer) in enumerate(lines):
            writer.write(flood(b"%d" % k))
        first = [await read_reply(reader) for reader, _ in lines]
        program.send_signal(signal.SIGTERM)
        count = 0
        for k, ((reader, writer), told) in enumerate(zip(lines, first, strict=True)):
            number = 0
            while told:
                assert told.endswith(b":%d-%d\r\n" % (k, number)) or re.fullmatch(rb"-BUSY( \d+)?\r\n", told)
                number, told = number + 1, await read_reply(reader)
            assert number <= FLOOD
            count += number
            writer.close()
        assert count >= 6 and await program.wait() == 0
        assert not any(host.running for host in site.hosts)


@run_on_uvloop
async def test_overload_goes_on_and_off_by_a_reload_in_traffic(tmp_path):
    async with LocalDeployment(tmp_path) as site:
        program = await site.start_gateway()
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        for n, overload in enumerate(["on = true", "on = false", "on = true\nturn = 0.1", "on = false"]):
            writer.write(flood(b"%d" % n, 500))
            await read_reply(reader)
            site.write_settings(overload=overload)
            program.send_signal(signal.SIGHUP)
            assert b"took effect: overload" in await site.wait_for_log_line(program, b"reload: ")
            for _ in range(499):
                assert (await read_reply(reader))[:1] in b"$-"
        site.write_settings(overload="lag = 3.0\nturn = 0.1")
        program.send_signal(signal.SIGHUP)
        await site.wait_for_log_line(program, b"overload.turn")
        assert b"rejected" in await site.wait_for_log_line(program, b"reload: ")
        writer.write(make_command(b"last"))
        assert (await read_reply(reader)).endswith(b":last\r\n")
        writer.close()

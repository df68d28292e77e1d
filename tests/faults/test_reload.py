"""SIGHUP: the new settings whole, or the old."""

import asyncio
import os
import signal
import socket

import pytest
from gateway_harness import VALUE_REPLY, make_command, read_reply, run_on_uvloop
from local_deployment import LEDGER_TERMS, BackgroundTraffic, LocalDeployment, free_port

from apigateway.emulators.counter import EmulatedCounter
from apigateway.emulators.ledger import Ledger


def replaced(site, text):
    """The file in one step, as a careful operator would."""
    new = site.folder / "new.toml"
    new.write_text(text)
    os.rename(new, site.settings_file)


@run_on_uvloop
async def test_a_hundred_reloads_in_traffic(tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with LocalDeployment(tmp_path, ledger=ledger) as site:
        program, more = await site.start_gateway(), free_port()
        async with BackgroundTraffic(site, ledger) as load:
            for n in range(100):
                site.write_settings(
                    [site.port, more] if n % 2 else [site.port], limits=f"max_open = {1000 + n}"
                )
                program.send_signal(signal.SIGHUP)
                if n % 10 == 9:
                    await site.wait_for_log_line(program, b"reload: took effect")
                    await load.wait_for_served(5)
            site.write_settings(limits="max_open = 77")
            program.send_signal(signal.SIGHUP)
            while b"limits.max_open" not in await site.wait_for_log_line(program, b"reload: "):
                pass
            await load.wait_for_served(20)
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


@run_on_uvloop
async def test_a_reload_opens_and_closes_listeners_and_tells_what_needs_a_restart(tmp_path):
    async with LocalDeployment(tmp_path, hosts=1, answer=lambda: None) as site:
        program, more = await site.start_gateway(), free_port()
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(make_command(b"before"))
        await site.hosts[0].arrivals.get()
        site.write_settings([more], limits="max_attempts = 2")
        program.send_signal(signal.SIGHUP)
        said = await site.wait_for_log_line(program, b"reload: ")
        assert b"took effect: listeners" in said and b"restart or a hand-over: limits.max_attempts" in said
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", site.port)
        site.hosts[0].writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await read_reply(reader) == VALUE_REPLY  # what was taken on the old one is answered there
        # Answered for by hand, the stub says nothing more there: what comes is to go by another line.
        site.hosts[0].writers[0].close()
        assert await read_reply(reader) == b""
        site.hosts[0].answer = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
        assert await site.send_request(make_command(b"after"), more) == VALUE_REPLY
        program.send_signal(signal.SIGHUP)
        assert b"max_attempts" in await site.wait_for_log_line(
            program, b"reload: "
        )  # told each time, never silently left
        writer.close()


@pytest.mark.parametrize(
    "how",
    [
        "half written",
        "a folder",
        "gone",
        "60 MB",
        "not UTF-8",
        "a fault",
        "an address that is taken",
        "no hosts file",
    ],
)
@run_on_uvloop
async def test_what_cannot_be_taken_up_leaves_the_old_in_force(how, tmp_path):
    ledger = Ledger(LEDGER_TERMS)
    async with LocalDeployment(tmp_path, ledger=ledger) as site:
        program = await site.start_gateway()
        good = site.settings_file.read_text()
        taken = socket.socket()
        taken.bind(("127.0.0.1", 0))
        taken.listen(1)
        async with BackgroundTraffic(site, ledger) as load:
            fresh = free_port()
            if how == "a folder":
                site.settings_file.unlink()
                site.settings_file.mkdir()
            elif how == "gone":
                site.settings_file.unlink()
            elif how == "60 MB":
                with open(site.settings_file, "ab") as file:
                    file.truncate(60 * 1024 * 1024)
            elif how == "not UTF-8":
                site.settings_file.write_bytes(b"\xff\xfe" + good.encode())
            elif how == "an address that is taken":
                site.write_settings([site.port, fresh, taken.getsockname()[1]])
            elif how == "no hosts file":
                site.write_settings(hosts='file = "other.toml"')
            else:
                replaced(
                    site,
                    good[: len(good) // 2] + "[limits"
                    if how == "half written"
                    else good + "\n[rules]\ndrain_grace = -1\n",
                )
            program.send_signal(signal.SIGHUP)
            said = await site.wait_for_log_line(program, b"rejected, the old settings stay in force")
            assert any(b"ERROR" in line for line in site.logs[program]), said
            await load.wait_for_served(20)
            with pytest.raises(ConnectionRefusedError):  # nothing of what was built beside is left
                await asyncio.open_connection("127.0.0.1", fresh)
            if site.settings_file.is_dir():
                site.settings_file.rmdir()
            replaced(site, good)
            program.send_signal(signal.SIGHUP)
            await site.wait_for_log_line(program, b"no changes")
        taken.close()


@run_on_uvloop
async def test_a_stop_during_a_reload_and_a_reload_during_a_stop(tmp_path):
    async with LocalDeployment(tmp_path, hosts=1, answer=lambda: None) as site:
        program = await site.start_gateway()
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(make_command(b"before"))
        await site.hosts[0].arrivals.get()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGHUP):
            program.send_signal(number)
        await site.wait_for_log_line(program, b"reload ignored: a shutdown or a hand-over is in progress")
        site.hosts[0].writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await read_reply(reader) == VALUE_REPLY
        assert await program.wait() == 0
        writer.close()


@run_on_uvloop
async def test_a_reload_goes_over_to_another_counter_and_another_file_of_hosts(tmp_path):
    async with LocalDeployment(tmp_path, hosts=2, answer=b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n") as site:
        site.publish_hosts("up", None)
        program = await site.start_gateway()
        assert await site.send_request(make_command(b"a")) == VALUE_REPLY and len(site.hosts[0].commands) == 1
        others = f'[[hosts]]\nid = "h9"\naddress = "127.0.0.1:{site.hosts[1].port}"\n'
        (tmp_path / "others.toml").write_text(others)
        async with EmulatedCounter() as other:
            site.write_settings(hosts='file = "others.toml"')
            site.settings_file.write_text(
                site.settings_file.read_text().replace(str(site.counter.port), str(other.port))
            )
            program.send_signal(signal.SIGHUP)
            said = await site.wait_for_log_line(program, b"reload: ")
            assert b"counter.address" in said and b"hosts.file" in said
            assert await site.send_request(make_command(b"b")) == VALUE_REPLY
            assert [len(h.commands) for h in site.hosts] == [1, 1]
            while not other.writers:
                await asyncio.sleep(0.01)


@run_on_uvloop
async def test_the_file_of_hosts_is_followed_and_a_bad_one_leaves_the_list(tmp_path):
    async with LocalDeployment(tmp_path, hosts=2, answer=b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n") as site:
        site.publish_hosts("up", None)
        program = await site.start_gateway()
        (tmp_path / "hosts.toml").write_text("[[hosts]\nid =")
        await site.wait_for_log_line(program, b"keeping the last list")
        assert await site.send_request(make_command(b"a")) == VALUE_REPLY
        site.publish_hosts("draining", "up")
        n = 0
        while not site.hosts[1].commands:  # until it has been read
            assert await site.send_request(make_command(b"b%d" % (n := n + 1))) == VALUE_REPLY
        before = len(site.hosts[0].commands)
        for n in range(10):
            assert await site.send_request(make_command(b"c%d" % n)) == VALUE_REPLY
        assert len(site.hosts[0].commands) == before

"""The last line of the log says why the process ended."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from gateway_harness import make_configuration, make_host_entry

from apigateway.daemon import platform
from apigateway.daemon.exit_log import ExitLog

ROOT = Path(__file__).resolve().parents[2]
COMMAND = [sys.executable, "-B", "-m", "apigateway.daemon"]


# Guards against a process that ends without a word, so that nobody can tell its end from a kill.
@pytest.mark.parametrize("name", ["SIGTERM", "SIGINT"])
def test_log_when_a_signal_ends_the_process_then_the_last_line_names_it(name, tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(make_configuration([make_host_entry(None, port=1)], 1, 2)))
    environment = os.environ | {"RELAY_CONFIG": str(file)}
    with subprocess.Popen(COMMAND, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True) as process:
        for line in process.stderr:
            if "listens on" in line:
                process.send_signal(signal.Signals[name])
        assert process.wait() == 0
    assert f"ended by {name}; largest size " in line


@pytest.mark.parametrize("error", [MemoryError("no memory"), RuntimeError("a fault"), SystemExit(3)])
def test_log_when_an_error_ends_the_process_then_the_last_line_names_it(error, monkeypatch, caplog):
    async def serve(config, exit_log):
        raise error

    monkeypatch.setattr(platform, "serve", serve)
    monkeypatch.setattr(platform, "read_config", lambda: None)
    with pytest.raises(type(error)):
        platform.main()
    assert f"ended by an error, {type(error).__name__}: {error}" in caplog.records[-1].getMessage()


def test_log_when_a_callback_raises_then_it_is_logged_and_counted(caplog):
    exit_log = ExitLog()

    async def run():
        loop = asyncio.get_running_loop()
        exit_log.watch(loop)
        loop.call_soon(lambda: 1 / 0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(run())
    assert exit_log.error_count == 1 and "ZeroDivisionError" in caplog.text
    caplog.set_level("INFO")
    exit_log.log_end()
    assert "errors that nobody handled: 1" in caplog.records[-1].getMessage()

"""The pool of a supervisor's workers."""

import asyncio
import logging
import os
import subprocess
from types import SimpleNamespace

from gateway_harness import run_on_uvloop

from apigateway.child_python import child_command, child_environment
from apigateway.daemon import worker_pool
from apigateway.daemon.settings import Settings
from apigateway.daemon.worker_pool import WorkerPool, WorkerResources


class HangingProcess:
    """A process that ends only when it is killed."""

    def __init__(self):
        self.ended = asyncio.Event()
        self.signals = []
        self.returncode = None

    def send_signal(self, number):
        self.signals.append(number)
        self.ended.set()


# Guards against a log that blames all workers for the one that ends late.
@run_on_uvloop
async def test_only_the_worker_that_ends_late_is_logged_and_killed(tmp_path, caplog, monkeypatch):
    monkeypatch.setattr(worker_pool, "EXIT_MARGIN_S", 0.0)
    settings = Settings(listeners=[])
    stop_requested = asyncio.Event()
    resources = WorkerResources([], None, str(tmp_path))
    pool = WorkerPool("", settings, 3, resources, stop_requested, lambda: False, lambda: None)
    pool.settings = SimpleNamespace(daemon=SimpleNamespace(linger=0.0, finish=0.0))
    process = HangingProcess()
    pool.workers[1].process = process
    pool._exit_waits.add(asyncio.ensure_future(process.ended.wait()))
    with caplog.at_level(logging.ERROR):
        assert not await pool.wait_until_exited()
    assert [record.getMessage() for record in caplog.records] == ["worker 1 did not exit in time: killed"]
    assert len(process.signals) == 1
    pool.close()


# Guards against code in the working directory that a worker would import and run.
def test_worker_does_not_import_modules_of_the_working_directory(tmp_path, monkeypatch):
    marker = tmp_path / "imported"
    for name in ("apigateway", "uvloop", "msgspec"):
        (tmp_path / f"{name}.py").write_text(f"open({str(marker)!r}, 'w')\nraise ImportError\n")
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv("PYTHONPATH", os.pathsep)
    command = [*child_command("apigateway"), "--help"]
    completed = subprocess.run(command, env=child_environment(), capture_output=True)
    assert completed.returncode == 0 and not marker.exists()


@run_on_uvloop
async def test_workers_are_started_by_the_command_that_keeps_the_working_directory_off_the_path(
    tmp_path, monkeypatch
):
    started = []

    async def record(*command, **options):
        started.append((command, options["env"]))
        return HangingProcess()

    monkeypatch.setattr(asyncio, "create_subprocess_exec", record)
    monkeypatch.setattr(WorkerPool, "_wait_for_exit", lambda *_: asyncio.sleep(0))
    resources = WorkerResources([], None, str(tmp_path))
    pool = WorkerPool("", Settings(listeners=[]), 1, resources, asyncio.Event(), bool, lambda: None)
    await pool.start(pool.workers[0])
    ((command, environment),) = started
    assert list(command[:4]) == child_command("apigateway")
    assert environment["PYTHONPATH"] == child_environment()["PYTHONPATH"]
    pool.close()

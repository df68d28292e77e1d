"""The pool of a supervisor's workers."""

import asyncio
import logging
from types import SimpleNamespace

from gateway_harness import run_on_uvloop

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

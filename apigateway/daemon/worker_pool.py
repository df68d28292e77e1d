"""Start a supervisor's workers, restart failed ones, and stop them."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from typing import NamedTuple

from apigateway.child_python import child_command, child_environment
from apigateway.daemon.settings import Settings
from apigateway.daemon.worker_lifecycle import RestartPolicy
from apigateway.daemon.worker_process import WorkerProcess, resident_bytes
from apigateway.daemon.workers import InFlightRegions, worker_environment

EXIT_MARGIN_S = 5.0  # a worker is killed this long after its own shutdown timeout
BYTES_PER_MIB = 1024 * 1024
MICROSECONDS_PER_SECOND = 1e6
# Variables from the service manager that are meant for the supervisor only.
SUPERVISOR_VARIABLES = ("LISTEN_FDS", "LISTEN_PID", "WATCHDOG_PID")
READY_NOTIFICATION = "READY=1"

log = logging.getLogger(__name__)


class WorkerResources(NamedTuple):
    """Resources that all workers share.

    Attributes:
        listeners: Descriptors of the listening sockets.
        regions: Shared memory for marks of writes in flight; None if it is not used.
        notify_folder: Folder for the workers' notify sockets.
    """

    listeners: list[int]
    regions: InFlightRegions | None
    notify_folder: str


class WorkerPool:
    """The workers of one supervisor.

    Attributes:
        settings: The settings in force; the supervisor replaces them at a reload.
        workers: All workers.
        has_failed: Whether a worker is in a crash loop, or failed during the shutdown.
    """

    def __init__(
        self,
        path: str,
        settings: Settings,
        count: int,
        resources: WorkerResources,
        stop_requested: asyncio.Event,
        is_handing_over: Callable[[], bool],
        on_all_ready: Callable[[], None],
    ) -> None:
        """Create the workers without starting them.

        Args:
            path: Path of the settings file.
            settings: The settings read from it.
            count: Number of workers.
            resources: The shared resources.
            stop_requested: Set when all workers are to stop; also set here after a crash loop.
            is_handing_over: Returns whether a successor's workers are taking over.
            on_all_ready: Called once, when all workers serve.
        """
        self.settings = settings
        self.has_failed = False
        self._path = path
        self._count = count
        self._resources = resources
        self._stop_requested = stop_requested
        self._is_handing_over = is_handing_over
        self._on_all_ready = on_all_ready
        self._has_notified_ready = False
        self._loop = asyncio.get_running_loop()
        self._policy = _restart_policy(settings)
        self._exit_waits: set[asyncio.Task[None]] = set()  # one task per process
        now = self._loop.time()
        self.workers = [
            WorkerProcess(number, self._policy, now, resources.notify_folder) for number in range(count)
        ]
        for worker in self.workers:
            self._loop.add_reader(worker.notify_socket, self._on_notification, worker)

    def close(self) -> None:
        """Close the notify sockets."""
        for worker in self.workers:
            self._loop.remove_reader(worker.notify_socket)
            worker.notify_socket.close()

    async def start(self, worker: WorkerProcess, take_over: bool = False) -> None:
        """Start a worker's process, which takes over from a predecessor's worker if `take_over` is set."""
        resources = self._resources
        in_flight_memory = [resources.regions.descriptor] if resources.regions is not None else []
        worker.is_terminating = False
        worker.lifecycle.on_started(self._loop.time())
        worker.process = await asyncio.create_subprocess_exec(
            *child_command("apigateway"),
            "serve",
            self._path,
            *(["--take-over"] if take_over else []),
            env=self._environment_of(worker),
            pass_fds=resources.listeners + in_flight_memory,
        )
        exit_wait = self._loop.create_task(self._wait_for_exit(worker, worker.process))
        self._exit_waits.add(exit_wait)
        exit_wait.add_done_callback(self._exit_waits.discard)

    def _environment_of(self, worker: WorkerProcess) -> dict[str, str]:
        resources = self._resources
        environment = child_environment()
        for name in SUPERVISOR_VARIABLES:
            environment.pop(name, None)
        environment |= worker_environment(worker.number, self._count, resources.listeners, resources.regions)
        environment["NOTIFY_SOCKET"] = worker.notify_path
        environment["WATCHDOG_USEC"] = str(int(self._policy.watchdog_timeout_s * MICROSECONDS_PER_SECOND))
        return environment

    async def check(self) -> None:
        """Start the workers that are due, and terminate those that hang or exceed the memory limit."""
        now = self._loop.time()
        is_handing_over = self._is_handing_over()
        for worker in self.workers:
            # The successor failed after this worker had handed over to it and exited.
            if worker.is_handed_over and not is_handing_over:
                worker.is_handed_over = False
                worker.lifecycle.restart_now(now)
            if worker.lifecycle.is_due(now):
                await self.start(worker)
            elif worker.process is not None and not worker.is_terminating:
                self._check_health(worker, worker.process.pid, now)

    def _check_health(self, worker: WorkerProcess, pid: int, now: float) -> None:
        if worker.lifecycle.is_hung(now):
            log.error("worker %d is not responding: killed", worker.number)
            worker.terminate(signal.SIGKILL)
        elif resident_bytes(pid) > self.settings.limits.memory_mb * BYTES_PER_MIB:
            log.error(
                "worker %d uses more than limits.memory_mb: stopping it for a restart",
                worker.number,
            )
            worker.terminate(signal.SIGTERM)

    async def _wait_for_exit(self, worker: WorkerProcess, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        worker.process = None
        if self._stop_requested.is_set():
            # A worker that SIGTERM ends during its start has accepted no requests.
            stopped_during_start = code == -signal.SIGTERM and not worker.lifecycle.is_ready
            self.has_failed = self.has_failed or (code != 0 and not stopped_during_start)
            worker.lifecycle.is_running = False
        elif code == 0 and self._is_handing_over():
            worker.is_handed_over = True
            worker.lifecycle.on_handed_over()
        else:
            self._on_worker_failed(worker, code)

    def _on_worker_failed(self, worker: WorkerProcess, code: int) -> None:
        lifecycle = worker.lifecycle
        is_restarted = lifecycle.on_exited(self._loop.time())
        log.error(
            "worker %d exited (%s)%s",
            worker.number,
            f"signal {-code}" if code < 0 else f"exit code {code}",
            f"; restart in {lifecycle.next_start_at - self._loop.time():.1f} s" if is_restarted else "",
        )
        if not is_restarted:
            log.error(
                "worker %d failed %d times in a row: stopping all workers",
                worker.number,
                lifecycle.consecutive_failures,
            )
            self.has_failed = True
            self._stop_requested.set()

    def _on_notification(self, worker: WorkerProcess) -> None:
        for lines in worker.receive_notifications():
            worker.lifecycle.on_heartbeat(self._loop.time(), READY_NOTIFICATION in lines)
        if not self._has_notified_ready and all(other.lifecycle.is_ready for other in self.workers):
            self._has_notified_ready = True
            self._on_all_ready()

    def reload(self) -> None:
        """Make the serving workers reload their settings."""
        for worker in self.workers:
            if worker.lifecycle.is_ready:
                worker.send_signal(signal.SIGHUP)

    def stop(self) -> None:
        """Make all workers shut down."""
        for worker in self.workers:
            worker.send_signal(signal.SIGTERM)

    async def wait_until_exited(self) -> bool:
        """Wait until all processes have exited, kill late ones, and return whether none was late."""
        if not self._exit_waits:
            return True
        section = self.settings.daemon
        timeout_s = section.linger + section.finish + EXIT_MARGIN_S
        _, late = await asyncio.wait(list(self._exit_waits), timeout=timeout_s)
        if not late:
            return True
        for worker in self.workers:
            if worker.process is None:
                continue
            log.error("worker %d did not exit in time: killed", worker.number)
            worker.send_signal(signal.SIGKILL)
        await asyncio.wait(late)
        return False


def _restart_policy(settings: Settings) -> RestartPolicy:
    section = settings.workers
    return RestartPolicy(
        watchdog_timeout_s=section.watchdog,
        ready_timeout_s=section.patience,
        backoff_s=section.rest,
        max_backoff_s=section.most_rest,
        stable_after_s=section.steady,
        crash_loop_threshold=section.crashes,
    )

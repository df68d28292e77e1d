"""Run `serve --workers N`: one supervisor, N gateways on one address, for machines with as many cores.

The supervisor holds the listening sockets and serves nothing. Its workers accept from the same sockets, so
what waits in one of them is any worker's: that one hangs or dies costs no connection that it had not
accepted. They send their heartbeats by the service manager's protocol (NOTIFY_SOCKET, WATCHDOG_USEC), which
gateways speak anyway.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import shutil
import signal
import socket
import sys
import tempfile

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.handover import (
    HandoverError,
    HandoverOffer,
)
from apigateway.daemon.handover_predecessor import HandoverPredecessor
from apigateway.daemon.handover_successor import HandoverSuccessor
from apigateway.daemon.inflight import shared_memory_size
from apigateway.daemon.lock import StateFolderLock
from apigateway.daemon.notify import Notifier
from apigateway.daemon.settings import Settings, read_settings
from apigateway.daemon.sockets import bind_listener
from apigateway.daemon.worker_lifecycle import RestartPolicy, WorkerLifecycle
from apigateway.daemon.workers import InFlightRegions, worker_environment
from apigateway.upstream.address import Address, read_address, write_address

# The shared memory's name beside the listeners of a hand-over.
MARKS_NAME = "marks"
# Status queries that only the workers can answer.
WORKER_QUERIES = ("hosts", "plugins", "ratelimit")
CHECK_INTERVAL_S = 0.1  # between checks of the workers
TAKE_OVER_CHECK_INTERVAL_S = CHECK_INTERVAL_S / 10  # requests wait in the kernel's queue meanwhile
EXIT_MARGIN_S = 5.0  # past its own time limit that a worker has to exit before it is killed
MAX_NOTIFICATION_BYTES = 4096
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MIB = 1024 * 1024
# Variables by which the supervisor's own service manager addresses the supervisor alone.
SUPERVISOR_VARIABLES = ("LISTEN_FDS", "LISTEN_PID", "WATCHDOG_PID")

log = logging.getLogger(__name__)


class Worker:
    """A worker process and the socket on which it sends its state.

    Attributes:
        number: From 0.
        lifecycle: Decides when it is started or killed.
        notify_path: Path of its notify socket.
        notify_socket: Receives its heartbeats.
        process: None while it does not run.
        is_terminating: It was told to exit or killed, and is to be started again.
        is_handed_over: A successor's worker serves in its place.
    """

    def __init__(self, number: int, policy: RestartPolicy, now: float, folder: str) -> None:
        self.number = number
        self.lifecycle = WorkerLifecycle(policy, now)
        self.notify_path = os.path.join(folder, f"worker-{number}")
        self.notify_socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        self.notify_socket.setblocking(False)
        self.notify_socket.bind(self.notify_path)
        self.process: asyncio.subprocess.Process | None = None
        self.is_terminating = False
        self.is_handed_over = False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to its process, if there is one."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


class Supervisor:
    """Starts the workers, restarts those that fail, and passes signals and hand-overs on to them."""

    def __init__(self, path: str, settings: Settings, count: int, take_over: bool = False) -> None:
        """Store what `run` needs.

        Args:
            path: Of the settings file.
            settings: As read from it.
            count: How many workers there are to be.
            take_over: Take over from the supervisor that runs.
        """
        self._path = path
        self._settings = settings
        self._count = count
        self._take_over = take_over
        self._loop = asyncio.get_running_loop()
        section = settings.workers
        self._policy = RestartPolicy(
            watchdog_timeout_s=section.watchdog,
            ready_timeout_s=section.patience,
            backoff_s=section.rest,
            max_backoff_s=section.most_rest,
            stable_after_s=section.steady,
            crash_loop_threshold=section.crashes,
        )
        self._stop_requested = asyncio.Event()
        self._has_failed = False
        self._has_notified_ready = False
        self._notifier = Notifier()
        self._workers: list[Worker] = []
        self._exit_waits: set[asyncio.Task[None]] = set()  # one for each process
        self._sockets: dict[Address, socket.socket] = {}
        self._marks: InFlightRegions | None = None
        self._lock: StateFolderLock | None = None
        self._predecessor: HandoverPredecessor | None = None  # this supervisor, as one that hands over
        self._successor: HandoverSuccessor | None = None  # this supervisor, as one that takes over

    async def run(self) -> int:
        """Supervise until it is told to stop or a worker is in a crash loop.

        Returns:
            The exit code.

        Raises:
            HandoverError, StateFolderLockedError, OSError: It cannot start.
        """
        self._install_signal_handlers()
        folder = tempfile.mkdtemp(prefix="apigateway-")
        try:
            await self._acquire_resources()
            self._create_workers(folder)
            if self._successor is not None:
                await self._take_over_workers(self._successor)
            if self._lock is not None:
                self._lock.record_holder()
                self._open_handover()
            while not self._stop_requested.is_set():
                await self._check_workers()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._stop_requested.wait(), CHECK_INTERVAL_S)
            self._notifier.stopping()
            ended_in_time = await self._end_workers()
            return 0 if ended_in_time and not self._has_failed else 1
        except BaseException:  # a hand-over that failed: its workers end, and the predecessor's go on
            self._stop_requested.set()
            await self._end_workers()
            raise
        finally:
            self._release_resources(folder)

    def _install_signal_handlers(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop_requested.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)

    async def _acquire_resources(self) -> None:
        state = self._settings.daemon.state
        if self._take_over:
            await self._inherit_resources(state)
        elif state:
            self._lock = StateFolderLock(state)
        if self._settings.workers.address == "shared":
            self._bind_missing_listeners()
            self._allocate_marks()

    def _bind_missing_listeners(self) -> None:
        for listener in self._settings.listeners:
            address = read_address(listener.address)
            if address not in self._sockets:
                self._sockets[address] = bind_listener(address)

    def _allocate_marks(self) -> None:
        marks = self._marks
        if marks is None:
            marks = InFlightRegions(os.memfd_create("apigateway-in-flight", os.MFD_CLOEXEC), 0, 0)
        region_count = max(marks.region_count, marks.first_region + self._count)
        self._marks = marks._replace(region_count=region_count)
        os.ftruncate(marks.descriptor, shared_memory_size(region_count))

    def _create_workers(self, folder: str) -> None:
        now = self._loop.time()
        for number in range(self._count):
            worker = Worker(number, self._policy, now, folder)
            self._workers.append(worker)
            self._loop.add_reader(worker.notify_socket, self._on_notification, worker)

    def _release_resources(self, folder: str) -> None:
        if self._predecessor is not None:
            self._predecessor.close()
        for worker in self._workers:
            self._loop.remove_reader(worker.notify_socket)
            worker.notify_socket.close()
        shutil.rmtree(folder, ignore_errors=True)
        for sock in self._sockets.values():
            sock.close()
        if self._marks is not None:
            os.close(self._marks.descriptor)
        if self._lock is not None:
            self._lock.close()
        self._notifier.close()

    # Hand-over: worker by worker, each as a gateway hands over to its successor

    def _open_handover(self) -> None:
        self._predecessor = HandoverPredecessor(
            self._handover_path(),
            self._offer,
            self._leave_to_workers,
            self._leave_to_workers,
            self._stop_requested.set,
            self._settings.daemon.handover_wait * self._count,
        )
        for name in WORKER_QUERIES:
            self._predecessor.status_queries[name] = lambda: {"workers": self._count}
        self._predecessor.open()

    def _handover_path(self) -> str:
        return os.path.join(self._settings.daemon.state, "handover")

    def _is_handing_over(self) -> bool:
        return self._predecessor is not None and self._predecessor.is_in_progress

    def _offer(self) -> HandoverOffer:
        assert self._lock is not None
        names = [write_address(address) for address in self._sockets]
        descriptors = self._listener_descriptors()
        first_region = 0
        if self._marks is not None:
            names.append(MARKS_NAME)
            descriptors.append(self._marks.descriptor)
            first_region = self._marks.first_region
        descriptors.append(self._lock.descriptor)
        return HandoverOffer(names, descriptors, {"workers": self._count, "base": first_region})

    def _listener_descriptors(self) -> list[int]:
        return [sock.fileno() for sock in self._sockets.values()]

    async def _leave_to_workers(self) -> None:
        """Do nothing: each worker pauses for its own successor, and resumes by itself."""

    async def _inherit_resources(self, state: str) -> None:
        """Take sockets, marks and lock of the supervisor that runs.

        Raises:
            HandoverError: Nothing runs there, or it has another number of workers.
        """
        if not state:
            raise HandoverError("daemon.state names no folder, so there is nobody to take over from")
        self._successor = HandoverSuccessor(self._handover_path())
        names, descriptors, known = await self._successor.take_over()
        if known.get("workers") != self._count:
            for descriptor in descriptors:
                os.close(descriptor)
            count = known.get("workers", "no")
            raise HandoverError(
                f"what runs there has {count} workers, and here are {self._count}: that needs a restart"
            )
        self._lock = StateFolderLock(state, descriptors.pop())
        wanted = {listener.address for listener in self._settings.listeners}
        for name, descriptor in zip(names, descriptors, strict=True):
            if name == MARKS_NAME:
                self._marks = self._inherit_marks(descriptor, int(known.get("base", 0)))
            elif name in wanted:
                sock = socket.socket(fileno=descriptor)
                sock.setblocking(False)
                self._sockets[read_address(name)] = sock
            else:  # a listener that the new settings have no more
                os.close(descriptor)

    def _inherit_marks(self, descriptor: int, predecessor_first_region: int) -> InFlightRegions:
        """Choose regions beside the predecessor's, whose marks hold until its requests have ended."""
        is_room_below = predecessor_first_region >= self._count
        first_region = 0 if is_room_below else predecessor_first_region + self._count
        region_count = os.fstat(descriptor).st_size // shared_memory_size(1)
        return InFlightRegions(descriptor, first_region, region_count)

    async def _take_over_workers(self, successor: HandoverSuccessor) -> None:
        """Start one worker after another in place of the predecessor's.

        Raises:
            HandoverError: One of them could not take over; the predecessor's go on.
        """
        for worker in self._workers:
            await self._start_worker(worker, take_over=True)
            process = worker.process
            deadline = self._loop.time() + self._settings.daemon.handover_wait
            while not worker.lifecycle.is_ready:
                if process is None or process.returncode is not None or self._loop.time() > deadline:
                    raise HandoverError(f"worker {worker.number} could not take over")
                if self._stop_requested.is_set():
                    raise HandoverError("told to stop")
                await asyncio.sleep(TAKE_OVER_CHECK_INTERVAL_S)
        await successor.announce_ready()
        await successor.announce_serving()

    # Workers

    async def _check_workers(self) -> None:
        now = self._loop.time()
        is_handing_over = self._is_handing_over()
        for worker in self._workers:
            if worker.is_handed_over and not is_handing_over:  # the successor failed, its worker has ended
                worker.is_handed_over = False
                worker.lifecycle.start_again(now)
            if worker.lifecycle.is_due(now):
                await self._start_worker(worker)
            elif worker.process is not None and not worker.is_terminating:
                self._check_health(worker, worker.process.pid, now)

    def _check_health(self, worker: Worker, pid: int, now: float) -> None:
        if worker.lifecycle.is_hung(now):
            log.error("worker %d shows no sign of life: killed", worker.number)
            worker.is_terminating = True
            worker.send_signal(signal.SIGKILL)
        elif _resident_bytes(pid) > self._settings.limits.memory_mb * MIB:
            log.error(
                "worker %d holds more than limits.memory_mb: it is to finish, and is made anew",
                worker.number,
            )
            worker.is_terminating = True
            worker.send_signal(signal.SIGTERM)

    async def _start_worker(self, worker: Worker, take_over: bool = False) -> None:
        listeners = self._listener_descriptors()
        marks = [self._marks.descriptor] if self._marks is not None else []
        worker.is_terminating = False
        worker.lifecycle.on_started(self._loop.time())
        worker.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "apigateway",
            "serve",
            self._path,
            *(["--take-over"] if take_over else []),
            env=self._environment_of(worker, listeners),
            pass_fds=listeners + marks,
        )
        exit_wait = self._loop.create_task(self._wait_for_exit(worker, worker.process))
        self._exit_waits.add(exit_wait)
        exit_wait.add_done_callback(self._exit_waits.discard)

    def _environment_of(self, worker: Worker, listeners: list[int]) -> dict[str, str]:
        environment = {name: value for name, value in os.environ.items() if name not in SUPERVISOR_VARIABLES}
        environment |= worker_environment(worker.number, self._count, listeners, self._marks)
        environment["NOTIFY_SOCKET"] = worker.notify_path
        environment["WATCHDOG_USEC"] = str(int(self._policy.watchdog_timeout_s * 1e6))
        return environment

    async def _wait_for_exit(self, worker: Worker, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        worker.process = None
        if self._stop_requested.is_set():
            # One that was told to end while it still started had taken nothing.
            ended_at_start = code == -signal.SIGTERM and not worker.lifecycle.is_ready
            self._has_failed = self._has_failed or (code != 0 and not ended_at_start)
            worker.lifecycle.is_running = False
        elif code == 0 and self._is_handing_over():
            worker.is_handed_over = True
            worker.lifecycle.on_handed_over()
        else:
            self._on_worker_failed(worker, code)

    def _on_worker_failed(self, worker: Worker, code: int) -> None:
        lifecycle = worker.lifecycle
        is_restarted = lifecycle.on_ended(self._loop.time())
        log.error(
            "worker %d ended (%s)%s",
            worker.number,
            f"signal {-code}" if code < 0 else f"exit code {code}",
            f"; again in {lifecycle.next_start_at - self._loop.time():.1f} s" if is_restarted else "",
        )
        if not is_restarted:
            log.error(
                "worker %d ended %d times in a row: given up, all end",
                worker.number,
                lifecycle.failures_in_row,
            )
            self._has_failed = True
            self._stop_requested.set()

    def _on_notification(self, worker: Worker) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                datagram = worker.notify_socket.recv(MAX_NOTIFICATION_BYTES)
                lines = datagram.decode("utf-8", "replace").split("\n")
                worker.lifecycle.on_heartbeat(self._loop.time(), "READY=1" in lines)
        if not self._has_notified_ready and all(one.lifecycle.is_ready for one in self._workers):
            self._has_notified_ready = True
            log.info(
                "%d workers listen on %s",
                self._count,
                ", ".join(listener.address for listener in self._settings.listeners),
            )
            self._notifier.ready(f"{self._count} workers serve", main=self._take_over)

    # Reload and end act on all

    def _reload(self) -> None:
        """Have the workers reload; reject for all what would need another supervisor."""
        if self._stop_requested.is_set() or self._is_handing_over():
            log.warning("no reload during a stop or a hand-over")
            return
        try:
            new = read_settings(self._path)
        except InvalidConfigFileError as err:
            for line in str(err).splitlines():
                log.error("%s", line)
            log.info("reload: refused, the old settings stay")
            return
        if not self._can_reload(new):
            log.error(
                "%s: listeners, workers and daemon.state need a restart where there are workers", self._path
            )
            log.info("reload: refused, the old settings stay")
            return
        self._settings = new
        for worker in self._workers:
            if worker.lifecycle.is_ready:
                worker.send_signal(signal.SIGHUP)

    def _can_reload(self, new: Settings) -> bool:
        old = self._settings
        return (
            new.listeners == old.listeners
            and new.workers == old.workers
            and new.daemon.state == old.daemon.state
        )

    async def _end_workers(self) -> bool:
        """Stop all workers, and kill those that are late; return whether none was."""
        if self._predecessor is None or not self._predecessor.is_completed:
            for worker in self._workers:
                worker.send_signal(signal.SIGTERM)
        # Else each has been replaced by its successor, and ends by itself.
        if not self._exit_waits:
            return True
        section = self._settings.daemon
        timeout_s = section.linger + section.finish + EXIT_MARGIN_S
        _, late = await asyncio.wait(list(self._exit_waits), timeout=timeout_s)
        if not late:
            return True
        for worker in self._workers:
            log.error("worker %d did not end in time: killed", worker.number)
            worker.send_signal(signal.SIGKILL)
        await asyncio.wait(late)
        return False


def _resident_bytes(pid: int) -> int:
    """Return the process's resident memory; 0 if it cannot be read, as of one that has just ended."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            resident_pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return resident_pages * PAGE_BYTES


async def supervise(path: str, settings: Settings, count: int, take_over: bool) -> int:
    """Run a supervisor and return the exit code.

    Raises:
        HandoverError, StateFolderLockedError, OSError: It cannot start.
    """
    return await Supervisor(path, settings, count, take_over).run()

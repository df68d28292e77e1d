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
import tempfile

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.handover import HandoverError, HandoverOffer
from apigateway.daemon.handover_predecessor import HandoverPredecessor
from apigateway.daemon.handover_successor import HandoverSuccessor
from apigateway.daemon.inflight import shared_memory_size
from apigateway.daemon.lock import StateFolderLock
from apigateway.daemon.notify import Notifier
from apigateway.daemon.settings import Settings, read_settings
from apigateway.daemon.sockets import bind_listener
from apigateway.daemon.takeover import create_successor, handover_path
from apigateway.daemon.worker_pool import WorkerPool, WorkerResources
from apigateway.daemon.worker_process import WorkerProcess
from apigateway.daemon.workers import InFlightRegions
from apigateway.exit_codes import ExitCode
from apigateway.upstream.address import Address, format_address, parse_address

# The shared memory's name beside the listeners of a hand-over.
MARKS_NAME = "marks"
# Status queries that only the workers can answer.
WORKER_QUERIES = ("hosts", "plugins", "ratelimit")
CHECK_INTERVAL_S = 0.1  # between checks of the workers
TAKE_OVER_CHECK_INTERVAL_S = CHECK_INTERVAL_S / 10  # requests wait in the kernel's queue meanwhile

log = logging.getLogger(__name__)


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
        self._stop_requested = asyncio.Event()
        self._notifier = Notifier()
        self._pool: WorkerPool | None = None
        self._sockets: dict[Address, socket.socket] = {}
        self._marks: InFlightRegions | None = None
        self._lock: StateFolderLock | None = None
        self._predecessor: HandoverPredecessor | None = None  # this supervisor, as one that hands over
        self._successor: HandoverSuccessor | None = None  # this supervisor, as one that takes over

    async def run(self) -> ExitCode:
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
            pool = self._create_pool(folder)
            if self._successor is not None:
                await self._take_over_workers(pool, self._successor)
            if self._lock is not None:
                self._lock.record_holder()
                self._open_handover()
            while not self._stop_requested.is_set():
                await pool.check()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._stop_requested.wait(), CHECK_INTERVAL_S)
            self._notifier.stopping()
            ended_in_time = await self._end_workers(pool)
            return ExitCode.OK if ended_in_time and not pool.has_failed else ExitCode.FAILED
        except BaseException:  # a hand-over that failed: its workers end, and the predecessor's go on
            self._stop_requested.set()
            if self._pool is not None:
                await self._end_workers(self._pool)
            raise
        finally:
            self._release_resources(folder)

    def _install_signal_handlers(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop_requested.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)

    async def _acquire_resources(self) -> None:
        """Get the lock, the listening sockets and the marks, from a predecessor if there is one."""
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
            address = parse_address(listener.address)
            if address not in self._sockets:
                self._sockets[address] = bind_listener(address)

    def _allocate_marks(self) -> None:
        marks = self._marks
        if marks is None:
            marks = InFlightRegions(os.memfd_create("apigateway-in-flight", os.MFD_CLOEXEC), 0, 0)
        region_count = max(marks.region_count, marks.first_region + self._count)
        self._marks = marks._replace(region_count=region_count)
        os.ftruncate(marks.descriptor, shared_memory_size(region_count))

    def _create_pool(self, folder: str) -> WorkerPool:
        resources = WorkerResources(self._listener_descriptors(), self._marks, folder)
        self._pool = WorkerPool(
            self._path,
            self._settings,
            self._count,
            resources,
            self._stop_requested,
            self._is_handing_over,
            self._on_all_ready,
        )
        return self._pool

    def _on_all_ready(self) -> None:
        log.info(
            "%d workers listen on %s",
            self._count,
            ", ".join(listener.address for listener in self._settings.listeners),
        )
        self._notifier.ready(f"{self._count} workers serve", main=self._take_over)

    def _release_resources(self, folder: str) -> None:
        if self._predecessor is not None:
            self._predecessor.close()
        if self._pool is not None:
            self._pool.close()
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
            handover_path(self._settings.daemon.state),
            self._offer,
            self._leave_to_workers,
            self._leave_to_workers,
            self._stop_requested.set,
            self._settings.daemon.handover_wait * self._count,
        )
        for name in WORKER_QUERIES:
            self._predecessor.status_queries[name] = lambda: {"workers": self._count}
        self._predecessor.open()

    def _is_handing_over(self) -> bool:
        return self._predecessor is not None and self._predecessor.is_in_progress

    def _offer(self) -> HandoverOffer:
        assert self._lock is not None
        names = [format_address(address) for address in self._sockets]
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
        self._successor = create_successor(state)
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
                self._sockets[parse_address(name)] = sock
            else:  # a listener that the new settings have no more
                os.close(descriptor)

    def _inherit_marks(self, descriptor: int, predecessor_first_region: int) -> InFlightRegions:
        """Choose regions beside the predecessor's, whose marks hold until its requests have ended."""
        is_room_below = predecessor_first_region >= self._count
        first_region = 0 if is_room_below else predecessor_first_region + self._count
        region_count = os.fstat(descriptor).st_size // shared_memory_size(1)
        return InFlightRegions(descriptor, first_region, region_count)

    async def _take_over_workers(self, pool: WorkerPool, successor: HandoverSuccessor) -> None:
        """Start one worker after another in place of the predecessor's.

        Raises:
            HandoverError: One of them could not take over; the predecessor's go on.
        """
        for worker in pool.workers:
            await pool.start(worker, take_over=True)
            await self._wait_until_ready(worker)
        await successor.announce_ready()
        await successor.announce_serving()

    async def _wait_until_ready(self, worker: WorkerProcess) -> None:
        """Wait until a worker that takes over serves.

        Raises:
            HandoverError: It failed or took too long, or this supervisor was told to stop.
        """
        process = worker.process
        deadline = self._loop.time() + self._settings.daemon.handover_wait
        while not worker.lifecycle.is_ready:
            if process is None or process.returncode is not None or self._loop.time() > deadline:
                raise HandoverError(f"worker {worker.number} could not take over")
            if self._stop_requested.is_set():
                raise HandoverError("told to stop")
            await asyncio.sleep(TAKE_OVER_CHECK_INTERVAL_S)

    # Reload and shutdown act on all

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
        if self._pool is not None:
            self._pool.settings = new
            self._pool.reload()

    def _can_reload(self, new: Settings) -> bool:
        old = self._settings
        return (
            new.listeners == old.listeners
            and new.workers == old.workers
            and new.daemon.state == old.daemon.state
        )

    async def _end_workers(self, pool: WorkerPool) -> bool:
        """Stop all workers, and kill those that are late; return whether none was."""
        if self._predecessor is None or not self._predecessor.is_completed:
            pool.stop()
        # Else each has been replaced by its successor, and ends by itself.
        return await pool.wait_until_ended()


async def supervise(path: str, settings: Settings, count: int, take_over: bool) -> ExitCode:
    """Run a supervisor and return the exit code.

    Raises:
        HandoverError, StateFolderLockedError, OSError: It cannot start.
    """
    return await Supervisor(path, settings, count, take_over).run()

"""Run `serve --workers N`: one supervisor and N gateways on one address, to use several cores of a machine.

The supervisor holds the listening sockets and serves no requests. Its workers accept from the same sockets,
so any worker can accept a waiting connection. If a worker hangs or dies, only the connections that it has
accepted are lost. Workers send their heartbeats by the service manager's protocol (NOTIFY_SOCKET,
WATCHDOG_USEC), which every gateway implements.
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

# Name of the in-flight memory in the list of listeners that a hand-over passes on.
IN_FLIGHT_MEMORY_NAME = "marks"
# Status queries that the workers answer; the supervisor returns their number.
WORKER_QUERIES = ("hosts", "plugins", "ratelimit")
CHECK_INTERVAL_S = 0.1
TAKE_OVER_CHECK_INTERVAL_S = CHECK_INTERVAL_S / 10  # shorter: connections wait in the kernel's queue

log = logging.getLogger(__name__)


class Supervisor:
    """Starts the workers, restarts failed ones, and forwards signals and hand-overs to them."""

    def __init__(self, path: str, settings: Settings, count: int, take_over: bool = False) -> None:
        """Store the arguments; `run` starts the workers.

        Args:
            path: Path of the settings file.
            settings: The settings read from it.
            count: Number of workers.
            take_over: Whether to take over from the running supervisor.
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
        self._in_flight_regions: InFlightRegions | None = None
        self._lock: StateFolderLock | None = None
        self._predecessor: HandoverPredecessor | None = None  # set while this supervisor can hand over
        self._successor: HandoverSuccessor | None = None  # set if this supervisor takes over

    async def run(self) -> ExitCode:
        """Supervise the workers until a stop is requested or a worker is in a crash loop.

        Returns:
            The exit code.

        Raises:
            HandoverError, StateFolderLockedError, OSError: The supervisor cannot start.
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
            exited_in_time = await self._stop_workers(pool)
            return ExitCode.OK if exited_in_time and not pool.has_failed else ExitCode.FAILED
        except BaseException:  # also a failed hand-over: the predecessor's workers keep serving
            self._stop_requested.set()
            if self._pool is not None:
                await self._stop_workers(self._pool)
            raise
        finally:
            self._release_resources(folder)

    def _install_signal_handlers(self) -> None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self._stop_requested.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)

    async def _acquire_resources(self) -> None:
        """Acquire or inherit the lock, the listening sockets and the in-flight memory."""
        state_folder = self._settings.daemon.state
        if self._take_over:
            await self._inherit_resources(state_folder)
        elif state_folder:
            self._lock = StateFolderLock(state_folder)
        if self._settings.workers.address == "shared":
            self._bind_missing_listeners()
            self._allocate_regions()

    def _bind_missing_listeners(self) -> None:
        for listener in self._settings.listeners:
            address = parse_address(listener.address)
            if address not in self._sockets:
                self._sockets[address] = bind_listener(address)

    def _allocate_regions(self) -> None:
        regions = self._in_flight_regions
        if regions is None:
            regions = InFlightRegions(os.memfd_create("apigateway-in-flight", os.MFD_CLOEXEC), 0, 0)
        region_count = max(regions.region_count, regions.first_region + self._count)
        self._in_flight_regions = regions._replace(region_count=region_count)
        os.ftruncate(regions.descriptor, shared_memory_size(region_count))

    def _create_pool(self, folder: str) -> WorkerPool:
        resources = WorkerResources(self._listener_descriptors(), self._in_flight_regions, folder)
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
        self._notifier.ready(f"{self._count} workers serve", is_main_process=self._take_over)

    def _close_sockets(self) -> None:
        """Close the listening sockets of this process.

        While it holds them, the kernel establishes connections that no worker accepts any more.
        """
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()

    def _release_resources(self, folder: str) -> None:
        if self._predecessor is not None:
            self._predecessor.close()
        if self._pool is not None:
            self._pool.close()
        shutil.rmtree(folder, ignore_errors=True)
        self._close_sockets()
        if self._in_flight_regions is not None:
            os.close(self._in_flight_regions.descriptor)
        if self._lock is not None:
            self._lock.close()
        self._notifier.close()

    # Hand-over: each worker hands over to its successor, one after another

    def _open_handover(self) -> None:
        self._predecessor = HandoverPredecessor(
            handover_path(self._settings.daemon.state),
            self._offer,
            self._no_op,
            self._no_op,
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
        listener_names = [format_address(address) for address in self._sockets]
        descriptors = self._listener_descriptors()
        first_region = 0
        if self._in_flight_regions is not None:
            listener_names.append(IN_FLIGHT_MEMORY_NAME)
            descriptors.append(self._in_flight_regions.descriptor)
            first_region = self._in_flight_regions.first_region
        descriptors.append(self._lock.descriptor)
        return HandoverOffer(listener_names, descriptors, {"workers": self._count, "base": first_region})

    def _listener_descriptors(self) -> list[int]:
        return [sock.fileno() for sock in self._sockets.values()]

    async def _no_op(self) -> None:
        """Do nothing: each worker pauses for its own successor and resumes by itself."""

    async def _inherit_resources(self, state_folder: str) -> None:
        """Take over sockets, in-flight memory and lock from the running supervisor.

        Raises:
            HandoverError: No supervisor is running, or its number of workers differs.
        """
        self._successor = create_successor(state_folder)
        listener_names, descriptors, predecessor_state = await self._successor.take_over()
        if predecessor_state.get("workers") != self._count:
            for descriptor in descriptors:
                os.close(descriptor)
            count = predecessor_state.get("workers", "no")
            raise HandoverError(
                f"the running gateway has {count} workers, this one {self._count}: that needs a restart"
            )
        self._lock = StateFolderLock(state_folder, descriptors.pop())
        listener_addresses = {listener.address for listener in self._settings.listeners}
        for name, descriptor in zip(listener_names, descriptors, strict=True):
            if name == IN_FLIGHT_MEMORY_NAME:
                self._in_flight_regions = self._inherit_regions(
                    descriptor, int(predecessor_state.get("base", 0))
                )
            elif name in listener_addresses:
                sock = socket.socket(fileno=descriptor)
                sock.setblocking(False)
                self._sockets[parse_address(name)] = sock
            else:  # a listener that was removed from the settings
                os.close(descriptor)

    def _inherit_regions(self, descriptor: int, predecessor_first_region: int) -> InFlightRegions:
        """Choose regions other than the predecessor's, whose marks are needed until its requests complete."""
        has_room_below = predecessor_first_region >= self._count
        first_region = 0 if has_room_below else predecessor_first_region + self._count
        region_count = os.fstat(descriptor).st_size // shared_memory_size(1)
        return InFlightRegions(descriptor, first_region, region_count)

    async def _take_over_workers(self, pool: WorkerPool, successor: HandoverSuccessor) -> None:
        """Start the workers one after another, each taking over from one of the predecessor's.

        Raises:
            HandoverError: A worker could not take over; the predecessor's workers keep serving.
        """
        for worker in pool.workers:
            await pool.start(worker, take_over=True)
            await self._wait_until_ready(worker)
        await successor.announce_ready()
        await successor.announce_serving()

    async def _wait_until_ready(self, worker: WorkerProcess) -> None:
        """Wait until a worker that takes over is serving.

        Raises:
            HandoverError: The worker failed or timed out, or a stop of this supervisor was requested.
        """
        process = worker.process
        deadline = self._loop.time() + self._settings.daemon.handover_wait
        while not worker.lifecycle.is_ready:
            if process is None or process.returncode is not None or self._loop.time() > deadline:
                raise HandoverError(f"worker {worker.number} could not take over")
            if self._stop_requested.is_set():
                raise HandoverError("stop requested during the hand-over")
            await asyncio.sleep(TAKE_OVER_CHECK_INTERVAL_S)

    # Reload and shutdown of all workers

    def _reload(self) -> None:
        """Reload the workers' settings; reject changes that need a new supervisor."""
        if self._stop_requested.is_set() or self._is_handing_over():
            log.warning("reload ignored: a shutdown or a hand-over is in progress")
            return
        try:
            new = read_settings(self._path)
        except InvalidConfigFileError as err:
            for line in str(err).splitlines():
                log.error("%s", line)
            log.info("reload: rejected, the old settings stay in force")
            return
        if not self._can_reload(new):
            log.error(
                "%s: with workers, a change of listeners, workers or daemon.state needs a restart", self._path
            )
            log.info("reload: rejected, the old settings stay in force")
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

    async def _stop_workers(self, pool: WorkerPool) -> bool:
        """Stop all workers, and kill those that exceed the time limit; return whether none did."""
        if self._predecessor is None or not self._predecessor.is_completed:
            self._close_sockets()
            pool.stop()
        # Otherwise each worker was replaced by its successor and exits by itself.
        return await pool.wait_until_exited()


async def supervise(path: str, settings: Settings, count: int, take_over: bool) -> ExitCode:
    """Run a supervisor, and return the exit code.

    Raises:
        HandoverError, StateFolderLockedError, OSError: The supervisor cannot start.
    """
    return await Supervisor(path, settings, count, take_over).run()

"""`serve --workers N`: one supervisor, N gateways on one address, for machines with as many cores.

The supervisor holds the listening sockets and serves nothing. Its workers accept from the same sockets, so
what
waits in one of them is any worker's: that one hangs or dies costs no connection that it had not accepted.
They tell
it that they live by the service manager's protocol (NOTIFY_SOCKET, WATCHDOG_USEC), which gateways speak
anyway.
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
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.handover import HandoverError, HandoverOffer, HandoverPredecessor, HandoverSuccessor
from apigateway.daemon.inflight import InFlightWriteTable, shared_memory_size
from apigateway.daemon.lock import StateFolderLock
from apigateway.daemon.notify import Notifier
from apigateway.daemon.settings import Settings, read_settings
from apigateway.daemon.sockets import bind_listener
from apigateway.daemon.worker_lifecycle import RestartPolicy, WorkerLifecycle
from apigateway.upstream.address import Address, read_address, write_address

# In the environment: "2/4"; descriptors "5,6"; the marks (inflight.py): their descriptor, the first of the
# regions of these workers, how many regions there are, "7,0,4".
WORKER, LISTENERS, MARKS = "CALICOMAST_WORKER", "CALICOMAST_LISTENERS", "CALICOMAST_MARKS"
MARKED = "marks"  # beside the listeners of a hand-over
LOOK = 0.1  # s between looks at the workers
SPARE = 5.0  # s past its own time that a worker has for its end before it is killed
PAGE = os.sysconf("SC_PAGE_SIZE")

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Share:
    """Which worker this process is, of how many, and the descriptors of the listeners that it was given."""

    number: int
    count: int
    listeners: tuple[int, ...]
    marks: tuple[int, int, int] | None = None

    def in_flight(self) -> InFlightWriteTable | None:
        if self.marks is None:
            return None
        descriptor, base, regions = self.marks
        return InFlightWriteTable(descriptor, base + self.number, regions)


def own_share(env: Mapping[str, str] = os.environ) -> Share | None:
    told = env.get(WORKER, "")
    if not told:
        return None
    number, _, count = told.partition("/")
    marks = tuple(int(n) for n in env.get(MARKS, "").split(",") if n)
    return Share(
        int(number),
        int(count),
        tuple(int(n) for n in env.get(LISTENERS, "").split(",") if n),
        (marks[0], marks[1], marks[2]) if marks else None,
    )


def shared(settings: Settings, share: Share) -> Settings:
    """A worker's settings: a gateway of its own, in the place of the machine's. With `workers.address =
    "own"` its
    ports lie so many above the machine's."""
    gateway, count, number = settings.gateway, share.count, share.number
    replace = msgspec.structs.replace
    listeners = settings.listeners
    if settings.workers.address == "own":
        listeners = [replace(one, address=moved(one.address, number)) for one in listeners]
    state = os.path.join(settings.daemon.state, f"worker-{number}") if settings.daemon.state else ""
    return replace(
        settings,
        listeners=listeners,
        daemon=replace(settings.daemon, state=state),
        gateway=replace(
            gateway,
            name=f"{gateway.name}.{number}",
            index=gateway.index * count + number,
            gateways=gateway.gateways * count,
            seed=gateway.seed + number if gateway.seed else 0,
        ),
    )


def moved(address: str, by: int) -> str:
    host, port = read_address(address)
    return write_address((host, port + by))


def given(share: Share) -> list[socket.socket]:
    """The listeners that the supervisor gave."""
    sockets = []
    for number in share.listeners:
        os.set_inheritable(number, False)
        sock = socket.socket(fileno=number)
        sock.setblocking(False)
        sockets.append(sock)
    return sockets


class Worker:
    def __init__(self, number: int, care: RestartPolicy, now: float, folder: str) -> None:
        self.number, self.tended = number, WorkerLifecycle(care, now)
        self.path = os.path.join(folder, f"worker-{number}")
        self.signs = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        self.signs.setblocking(False)
        self.signs.bind(self.path)
        self.process: asyncio.subprocess.Process | None = None
        self.killed = False  # for want of a sign of life
        self.handed = False  # a successor's worker serves in its place


class Supervisor:
    def __init__(self, path: str, settings: Settings, count: int, take_over: bool = False) -> None:
        self.path, self.settings, self.count, self.take_over = path, settings, count, take_over
        self.loop = asyncio.get_running_loop()
        part = settings.workers
        self.care = RestartPolicy(
            part.watchdog, part.patience, part.rest, part.most_rest, part.steady, part.crashes
        )
        self.told, self.failed = asyncio.Event(), False
        self.notifier = Notifier()
        self.workers: list[Worker] = []
        self.sockets: dict[Address, socket.socket] = {}
        self.lock: StateFolderLock | None = None
        self.waits: set[asyncio.Task[None]] = set()
        self.told_ready = False
        self.marks, self.base, self.regions = -1, 0, 0
        self.keeper: HandoverPredecessor | None = None
        self.heir: HandoverSuccessor | None = None

    async def run(self) -> int:
        """Until it is told to stop, or a worker's crash loop ends it. The exit code."""
        for name in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(name, self.told.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.hup)
        folder = tempfile.mkdtemp(prefix="apigateway-")
        try:
            state = self.settings.daemon.state
            if self.take_over:
                await self.inherit(state)
            elif state:
                self.lock = StateFolderLock(state)
            if self.settings.workers.address == "shared":
                for listener in self.settings.listeners:
                    address = read_address(listener.address)
                    if address not in self.sockets:
                        self.sockets[address] = bind_listener(address)
                if self.marks < 0:
                    self.marks = os.memfd_create("apigateway-in-flight", os.MFD_CLOEXEC)
                self.regions = max(self.regions, self.base + self.count)
                os.ftruncate(self.marks, shared_memory_size(self.regions))
            now = self.loop.time()
            for number in range(self.count):
                worker = Worker(number, self.care, now, folder)
                self.workers.append(worker)
                self.loop.add_reader(worker.signs, self.heard, worker)
            if self.heir is not None:
                await self.succeed(self.heir)
            if self.lock is not None:
                self.lock.record_holder()
                self.keep(state)
            while not self.told.is_set():
                await self.look()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.told.wait(), LOOK)
            self.notifier.stopping()
            good = await self.end()
            return 0 if good and not self.failed else 1
        except BaseException:  # a hand-over that failed: its workers end, and the predecessor's go on
            self.told.set()
            await self.end()
            raise
        finally:
            if self.keeper is not None:
                self.keeper.close()
            for worker in self.workers:
                self.loop.remove_reader(worker.signs)
                worker.signs.close()
            shutil.rmtree(folder, ignore_errors=True)
            for sock in self.sockets.values():
                sock.close()
            if self.marks >= 0:
                os.close(self.marks)
            if self.lock is not None:
                self.lock.close()
            self.notifier.close()

    # Hand-over: worker by worker, each as a gateway hands over to its successor

    def keep(self, state: str) -> None:
        wait = self.settings.daemon.handover_wait * self.count
        self.keeper = HandoverPredecessor(
            os.path.join(state, "handover"), self.offer, self.nothing, self.nothing, self.succeeded, wait
        )
        for name in ("hosts", "plugins", "ratelimit"):  # the workers know
            self.keeper.status_queries[name] = lambda: {"workers": self.count}
        self.keeper.open()

    def offer(self) -> HandoverOffer:
        assert self.lock is not None
        names = [write_address(address) for address in self.sockets]
        numbers = [sock.fileno() for sock in self.sockets.values()]
        if self.marks >= 0:
            names, numbers = [*names, MARKED], [*numbers, self.marks]
        known = {"workers": self.count, "base": self.base}
        return HandoverOffer(names, [*numbers, self.lock.descriptor], known)

    async def nothing(self) -> None:
        """The workers have paused, each for its successor, and go on by themselves."""

    def succeeded(self) -> None:
        self.told.set()

    async def inherit(self, state: str) -> None:
        """Sockets, marks and lock of the supervisor that runs. Raises HandoverError."""
        if not state:
            raise HandoverError("daemon.state names no folder, so there is nobody to take over from")
        self.heir = HandoverSuccessor(os.path.join(state, "handover"))
        names, numbers, known = await self.heir.take_over()
        if known.get("workers") != self.count:
            for number in numbers:
                os.close(number)
            count = known.get("workers", "no")
            raise HandoverError(
                f"what runs there has {count} workers, and here are {self.count}: that needs a restart"
            )
        self.lock = StateFolderLock(state, numbers.pop())
        wanted = {listener.address for listener in self.settings.listeners}
        for name, number in zip(names, numbers, strict=True):
            if name == MARKED:
                self.marks = number
                # The predecessor's regions stay as they are: what is marked there is in work till it ends.
                old = int(known.get("base", 0))
                self.base = 0 if old >= self.count else old + self.count
                self.regions = os.fstat(number).st_size // shared_memory_size(1)
            elif name in wanted:
                sock = socket.socket(fileno=number)
                sock.setblocking(False)
                self.sockets[read_address(name)] = sock
            else:
                os.close(number)

    async def succeed(self, heir: HandoverSuccessor) -> None:
        """One worker after another takes over from the predecessor's; if one cannot, all is as before."""
        for worker in self.workers:
            await self.start(worker, take_over=True)
            process, until = worker.process, self.loop.time() + self.settings.daemon.handover_wait
            while not worker.tended.is_ready:
                if process is None or process.returncode is not None or self.loop.time() > until:
                    raise HandoverError(f"worker {worker.number} could not take over")
                if self.told.is_set():
                    raise HandoverError("told to stop")
                await asyncio.sleep(LOOK / 10)
        await heir.announce_ready()
        await heir.announce_serving()

    # Workers

    async def look(self) -> None:
        now = self.loop.time()
        handing = self.keeper is not None and self.keeper.is_in_progress
        for worker in self.workers:
            # the successor failed: its worker has ended, and ours begins anew
            if worker.handed and not handing:
                worker.handed = False
                worker.tended.start_again(now)
            if worker.tended.is_due(now):
                await self.start(worker)
            elif worker.process is not None and not worker.killed and worker.tended.is_hung(now):
                log.error("worker %d shows no sign of life: killed", worker.number)
                worker.killed = True
                self.send(worker, signal.SIGKILL)
            elif worker.process is not None and not worker.killed and self.fat(worker.process.pid):
                log.error(
                    "worker %d holds more than limits.memory_mb: it is to finish, and is made anew",
                    worker.number,
                )
                worker.killed = True
                self.send(worker, signal.SIGTERM)

    def fat(self, pid: int) -> bool:
        try:
            with open(f"/proc/{pid}/statm", encoding="ascii") as file:
                pages = int(file.read().split()[1])
        except (OSError, ValueError, IndexError):
            return False
        return pages * PAGE > self.settings.limits.memory_mb * 1024 * 1024

    async def start(self, worker: Worker, take_over: bool = False) -> None:
        numbers = [sock.fileno() for sock in self.sockets.values()]
        environment = {
            name: value
            for name, value in os.environ.items()
            if name not in ("LISTEN_FDS", "LISTEN_PID", "WATCHDOG_PID")
        }
        environment |= {
            WORKER: f"{worker.number}/{self.count}",
            LISTENERS: ",".join(map(str, numbers)),
            MARKS: f"{self.marks},{self.base},{self.regions}" if self.marks >= 0 else "",
            "NOTIFY_SOCKET": worker.path,
            "WATCHDOG_USEC": str(int(self.care.watchdog_timeout_s * 1e6)),
        }
        worker.killed = False
        worker.tended.on_started(self.loop.time())
        worker.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "apigateway",
            "serve",
            self.path,
            *(["--take-over"] if take_over else []),
            env=environment,
            pass_fds=numbers + ([self.marks] if self.marks >= 0 else []),
        )
        wait = self.loop.create_task(self.wait(worker, worker.process))
        self.waits.add(wait)
        wait.add_done_callback(self.waits.discard)

    async def wait(self, worker: Worker, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        worker.process = None
        if self.told.is_set():
            # One that was told to end while it still started had taken nothing.
            early = code == -signal.SIGTERM and not worker.tended.is_ready
            self.failed = self.failed or (code != 0 and not early)
            worker.tended.is_running = False
            return
        if code == 0 and self.keeper is not None and self.keeper.is_in_progress:
            worker.handed = True
            worker.tended.on_handed_over()
            return
        again = worker.tended.on_ended(self.loop.time())
        log.error(
            "worker %d ended (%s)%s",
            worker.number,
            f"signal {-code}" if code < 0 else f"exit code {code}",
            f"; again in {worker.tended.next_start_at - self.loop.time():.1f} s" if again else "",
        )
        if not again:
            log.error(
                "worker %d ended %d times in a row: given up, all end",
                worker.number,
                worker.tended.failures_in_row,
            )
            self.failed = True
            self.told.set()

    def heard(self, worker: Worker) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                lines = worker.signs.recv(4096).decode("utf-8", "replace").split("\n")
                worker.tended.on_heartbeat(self.loop.time(), "READY=1" in lines)
        if not self.told_ready and all(one.tended.is_ready for one in self.workers):
            self.told_ready = True
            log.info(
                "%d workers listen on %s",
                self.count,
                ", ".join(listener.address for listener in self.settings.listeners),
            )
            self.notifier.ready(f"{self.count} workers serve", main=self.take_over)

    @staticmethod
    def send(worker: Worker, number: signal.Signals) -> None:
        if worker.process is not None:
            with contextlib.suppress(ProcessLookupError):
                worker.process.send_signal(number)

    # Reload and end act on all

    def hup(self) -> None:
        """Workers take up what they can, as a gateway does; what only the supervisor could is refused for
        all."""
        if self.told.is_set() or (self.keeper is not None and self.keeper.is_in_progress):
            log.warning("no reload during a stop or a hand-over")
            return
        try:
            new = read_settings(self.path)
        except InvalidConfigFileError as err:
            for line in str(err).splitlines():
                log.error("%s", line)
            log.info("reload: refused, the old settings stay")
            return
        if (new.listeners, new.workers, new.daemon.state) != (
            self.settings.listeners,
            self.settings.workers,
            self.settings.daemon.state,
        ):
            log.error(
                "%s: listeners, workers and daemon.state need a restart where there are workers", self.path
            )
            log.info("reload: refused, the old settings stay")
            return
        self.settings = new
        for worker in self.workers:
            if worker.tended.is_ready:
                self.send(worker, signal.SIGHUP)

    async def end(self) -> bool:
        """Whether all ended by themselves."""
        handed = self.keeper is not None and self.keeper.is_completed  # then each ends by itself, or has
        for worker in self.workers if not handed else ():
            self.send(worker, signal.SIGTERM)
        part = self.settings.daemon
        if not self.waits:
            return True
        _, left = await asyncio.wait(list(self.waits), timeout=part.linger + part.finish + SPARE)
        for worker in self.workers if left else ():
            log.error("worker %d did not end in time: killed", worker.number)
            self.send(worker, signal.SIGKILL)
        if left:
            await asyncio.wait(left)
        return not left


async def supervise(path: str, settings: Settings, count: int, take_over: bool) -> int:
    """Raises HandoverError, StateFolderLockedError or OSError if it cannot start."""
    return await Supervisor(path, settings, count, take_over).run()

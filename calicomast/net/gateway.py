"""Feeds what happens on the sockets to the one decision module and carries out what it decides.

Nothing here decides. This file owns the timers and each request's single final answer. Each event and action
of interface.py has its place here, but for Began and Message: the sockets know no streams and no peers.
"""

from __future__ import annotations

import asyncio
import logging
import math
import re
import time
from collections import deque

from calicomast import interface as api
from calicomast.net.clients import FAILED, ClientServer, Slot
from calicomast.net.config import Config
from calicomast.net.counter import Counter
from calicomast.net.discovery import Discovery
from calicomast.net.framing import MOST_BODY
from calicomast.net.hosts import Attempt, Hosts
from calicomast.net.listing import Listing
from calicomast.policy import Gateway

WAY_BACK = 0.03  # s before the client gives up by which the module is to be done
GUARD = 0.01  # s before that by which a request without an answer is failed, whatever the module does
MOST_LEFT = 3600.0  # s; a client that says it will wait for longer is in error
OWN_MEMORY = 40 * 1024 * 1024  # bytes that the program takes itself, with some to spare
LEAST_HELD = 4 * 1024 * 1024  # bytes of bodies, and as many of half commands, that there is always room for
SPARE_SOCKETS = 64  # descriptors that are neither clients' nor hosts' connections
LINGER = 0.5  # s after SIGTERM in which connections still come
FINISH = 3.4  # s after SIGTERM by which everything is answered: SIGKILL is not far

BUSY = b"-BUSY\r\n"
PONG = b"+PONG\r\n"

log = logging.getLogger(__name__)


class Clock:
    """Unix time that never steps: hosts' starts and the counter's windows are told in it."""

    def __init__(self) -> None:
        self.zero = time.time() - time.monotonic()

    def __call__(self) -> float:
        return self.zero + time.monotonic()


class Work:
    """A request that was taken: where its answer goes, what goes to hosts, and what is out for it."""

    __slots__ = ("id", "slot", "command", "deadline", "guard", "sends", "live", "over")

    def __init__(self, id: str, slot: Slot, command: list[bytes], deadline: float) -> None:
        self.id, self.slot, self.command, self.deadline = id, slot, command, deadline
        self.guard: asyncio.TimerHandle | None = None
        self.sends = 0
        self.live: dict[int, Attempt] = {}
        self.over = False


    def payload(self, left: float) -> bytes:
        """The command as the client sent it, but for `d`: how long this attempt is waited for."""
        terms = self.command[3]
        start = (b"," + terms).index(b",d=") + 2
        end = terms.find(b",", start)
        told = b"%s%d%s" % (terms[:start], max(1, int(left * 1000)), terms[end:] if end >= 0 else b"")
        parts = [*self.command[:3], told, *self.command[4:]]
        return b"*%d\r\n%s" % (len(parts), b"".join([bulk(part) for part in parts]))


def bulk(data: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(data), data)


# The protocol's forms: int() and float() take blanks, signs, `1_0`, `0x1` and more besides.
WHOLE, DECIMAL = re.compile(rb"[0-9]{1,9}"), re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
CUSTOMER, MOST_CUSTOMERS = re.compile(rb"[0-9a-fA-F]{16}"), 2 ** 33
NAME = re.compile(rb"[!-~]{1,64}")  # ids and keys


def whole(text: bytes) -> int:
    if not WHOLE.fullmatch(text):
        raise ValueError("not a whole number")
    return int(text)


def decimal(text: bytes) -> float:
    if not DECIMAL.fullmatch(text):
        raise ValueError("not a number")
    return float(text)


class BadRequest(Exception):
    """Why a command cannot be taken."""


class GatewayNode:
    def __init__(self, config: Config) -> None:
        self.config, self.settings, self.clock = config, config.settings, Clock()
        self.loop = asyncio.get_running_loop()
        self.module = Gateway(config.settings, config.seed, self.clock())
        self.works: dict[str, Work] = {}
        self.held = 0  # bytes of bodies in work
        self.events: deque[api.Event] = deque()
        self.feeding = self.ready = self.stopping = False
        self.done = asyncio.Event()  # stopping, and nothing is in work
        room = max(config.sockets - SPARE_SOCKETS, config.sockets // 2)
        # Bodies in work and half commands are bounded: past the limit of memory the program is killed.
        self.most_held = max(LEAST_HELD, (config.memory - OWN_MEMORY) // 4)
        self.clients = ClientServer(self, room // 2, self.most_held)
        self.hosts = Hosts(config.connect_timeout, config.idle_close, room // 2)
        self.counter = Counter(config.counter, self.settings.counter_timeout) if config.counter else None
        self.discovery = Discovery(config.discovery, config.known.hosts.version, self.listed,
                                   self.list_failed)
        self.endings: set[asyncio.Task[None]] = set()  # what a new configuration replaced, until it has ended
        self.actions = {
            api.Send: self.send, api.Refuse: self.refuse, api.Fail: self.fail, api.Cancel: self.cancel,
            api.Count: self.count, api.SetTimer: self.set_timer, api.Probe: self.probe,
            api.Close: lambda a: self.hosts.close_idle(a.host), api.Fetch: lambda a: self.discovery.fetch(),
            api.Watch: lambda a: self.discovery.watch(a.on),
            api.Log: lambda a: log.info("module: %s", a.text)}

    async def start(self) -> int:
        """Returns the port that clients connect to. Before the first of them the module knows its hosts."""
        self.listed(self.config.known)
        self.hosts.start_checks()
        if self.counter:
            self.counter.start()
        if self.settings.discovery == "push":
            self.discovery.watch(True)
        return await self.clients.listen(*self.config.listen)

    def reload(self, config: Config) -> None:
        """Goes over to the addresses of a new configuration. The rest of it holds from the next start on."""
        if self.stopping:
            return
        old, self.config = self.config, config
        if (old.settings, old.listen, old.sockets) != (config.settings, config.listen, config.sockets):
            log.warning("only new addresses of discovery and counter are taken up before the next start")
        if self.counter and config.counter:
            self.counter.move(config.counter)
        replaced = self.discovery
        self.discovery = Discovery(config.discovery, replaced.version, self.listed, self.list_failed)
        if replaced.watching:  # the watch begins with the whole list: another service has versions of its own
            self.discovery.watch(True)
        ending = self.loop.create_task(replaced.close())
        self.endings.add(ending)
        ending.add_done_callback(self.endings.discard)
        log.info("new configuration: discovery %s:%d", *config.discovery)

    # Events

    def feed(self, event: api.Event) -> None:
        """Hands events over one after another: what an action causes at once waits its turn."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.feeding = False

    def handle(self, event: api.Event) -> None:
        try:
            actions = self.module.handle(self.clock(), event)
        except Exception:  # one request must not take the others along
            log.exception("the module failed on %s", type(event).__name__)
            if isinstance(event, api.Request | api.Outcome) and event.id in self.works:
                self.abandon(self.works[event.id])
            return
        for action in actions:
            try:
                self.actions[type(action)](action)
            except Exception:  # nor one action the rest; the guard answers what it was for
                log.exception("%r could not be carried out", action)

    def abandon(self, work: Work) -> None:
        """Fails a request by itself and lets the module forget it."""
        self.finish(work, FAILED)
        for attempt in list(work.live.values()):
            self.hosts.give_up(attempt, "cancelled")
        self.feed(api.Gone(work.id))

    def listed(self, listing: Listing) -> None:
        """The module hears of it between new hosts and those that go: what ends with a host that goes is then
        not sent there once more."""
        up = {h.id for h in listing.hosts.hosts if h.state == "up"}
        for host in up & listing.addresses.keys():
            self.hosts.listed(host, listing.addresses[host])
        self.feed(listing.hosts)
        named = {h.id for h in listing.hosts.hosts}
        for host in (named if listing.hosts.mode == "delta" else named | self.hosts.pools.keys()) - up:
            self.hosts.listed(host, None)
        self.ready = self.ready or bool(self.hosts.pools)

    def list_failed(self) -> None:
        if self.settings.discovery == "ask":
            self.feed(api.HostList("failed", self.discovery.version, ()))

    # Clients

    def command(self, slot: Slot, command: object) -> None:
        if command == [b"PING"] or command == [b"ping"]:
            slot.reply(PONG if self.ready and not self.stopping else b"-ERR not ready\r\n")
            return
        try:
            self.take(slot, command)
        except BadRequest as err:
            slot.reply(b"-ERR %s\r\n" % str(err).encode())
        except Exception:
            log.exception("a command could not be taken")
            slot.reply(FAILED)

    def take(self, slot: Slot, command: object) -> None:
        if not isinstance(command, list) or {type(part) for part in command} - {bytes}:
            raise BadRequest("not an array of bulk strings")
        verb = command[0] if command else b""
        write = verb == b"API.WRITE"
        if not write and verb != b"API.READ":
            raise BadRequest("unknown command")
        if len(command) != 4 + write:
            raise BadRequest("wrong number of arguments")
        if write and len(command[4]) > MOST_BODY:
            raise BadRequest("body too long")
        request = self.read_request(command, write)
        if request.id in self.works:
            raise BadRequest("this id is in work")
        if len(self.works) >= self.config.max_open or self.held > self.most_held:
            slot.reply(BUSY)
            return
        now = time.monotonic()
        work = Work(request.id, slot, command, now + request.left)
        slot.token = work
        self.works[request.id] = work
        self.held += len(command[-1])
        work.guard = self.loop.call_later(max(0.0, request.left + WAY_BACK - GUARD), self.overdue, work)
        self.feed(request)

    def read_request(self, command: list[bytes], write: bool) -> api.Request:
        _, customer, name, terms = command[:4]
        pairs = [term.split(b"=", 1) for term in terms.split(b",")]
        try:
            fields = dict(pairs)
            cls = self.settings.classes.get(fields[b"c"].decode())
            plan = fields[b"t"].decode()
            left, units = whole(fields[b"d"]) / 1000, decimal(fields[b"units"])
            spread, first = whole(fields[b"spread"]), whole(fields[b"first"])
        except (KeyError, ValueError) as err:
            raise BadRequest("missing or odd field") from err
        if len(fields) != len(pairs):
            raise BadRequest("a field twice")
        if not (CUSTOMER.fullmatch(customer) and int(customer, 16) < MOST_CUSTOMERS and NAME.fullmatch(name)):
            raise BadRequest("odd customer or id")
        if cls is None or plan not in self.settings.plans:
            raise BadRequest("unknown class or plan")
        keyless = cls.effect == "keyed" and not NAME.fullmatch(fields.get(b"k", b""))
        if write == (cls.effect == "safe") or keyless:
            raise BadRequest("class does not go with this command")
        gateways = self.settings.gateways
        if not (0 < units <= self.settings.most_units and 1 <= spread <= gateways and first < gateways
                and left <= MOST_LEFT):
            raise BadRequest("field out of range")
        return api.Request(name.decode(), left - WAY_BACK, customer.decode().lower(), plan, cls.name, units,
                           first, spread, fields.get(b"r") == b"1", write)

    def gone(self, slot: Slot) -> None:
        """The client went away: nothing more is sent for its request."""
        work = slot.token
        if work is not None and not work.over:
            self.finish(work, b"")
            self.feed(api.Gone(work.id))

    def overdue(self, work: Work) -> None:
        """Guards the client's deadline against a module that says nothing."""
        if not work.over:
            log.warning("request %s: no decision before its deadline", work.id)
            self.abandon(work)

    def finish(self, work: Work, answer: bytes) -> None:
        """The one place where a request gets its final answer."""
        if work.over:
            return
        work.over = True
        if work.guard is not None:
            work.guard.cancel()
        if answer:
            work.slot.reply(answer)
        for attempt in list(work.live.values()):
            if not attempt.written:  # after the final answer nothing more is sent
                self.hosts.give_up(attempt, "cancelled")
        self.forget(work)

    def forget(self, work: Work) -> None:
        if work.over and not work.live and self.works.pop(work.id, None):
            self.held -= len(work.command[-1])
            if self.stopping and not self.works:
                self.done.set()

    # Actions

    def refuse(self, action: api.Refuse) -> None:
        if action.id in self.works:
            wait = math.ceil(action.retry_after * 1000)
            self.finish(self.works[action.id], b"-BUSY %d\r\n" % wait if wait > 0 else BUSY)

    def fail(self, action: api.Fail) -> None:
        if action.id in self.works:
            self.finish(self.works[action.id], FAILED)

    def send(self, action: api.Send) -> None:
        work = self.works.get(action.id)
        if work is None or work.over:
            return
        number, left = work.sends, work.deadline - time.monotonic()
        work.sends += 1
        if left <= 0 or number >= self.settings.limits.max_attempts or (
                work.live and not self.settings.limits.second_copies):
            self.feed(api.Outcome(work.id, number, action.host, "moot", 0.0, False))
            return
        wait = min(left, action.timeout) if action.timeout > 0 else left
        attempt = Attempt(action.host, work.payload(wait), self.attempt_done, (work, number))
        work.live[number] = attempt
        self.hosts.send(attempt, wait)

    def attempt_done(self, attempt: Attempt) -> None:
        work, number = attempt.tag
        result, over = attempt.result, work.over
        del work.live[number]
        if over and result == "connect_failed":
            result = "moot"  # called off before it was sent, which says nothing of the host
        elif result == "ok" and not over:
            self.finish(work, bulk(attempt.value))
        self.forget(work)
        self.feed(api.Outcome(work.id, number, attempt.host, result, attempt.elapsed(), work.over,
                              used=attempt.used, report=attempt.report))

    def cancel(self, action: api.Cancel) -> None:
        work = self.works.get(action.id)
        if work is not None and action.attempt in work.live:
            self.hosts.give_up(work.live[action.attempt], "cancelled")

    def probe(self, action: api.Probe) -> None:
        self.hosts.probe(action.host, self.probed)

    def probed(self, attempt: Attempt) -> None:
        self.feed(api.Probed(attempt.host, attempt.result, attempt.elapsed(), attempt.report))

    def count(self, action: api.Count) -> None:
        if self.counter is None:
            self.loop.call_soon(self.counted, action.name, "connect_failed", 0.0, 0.0)
        else:
            self.counter.add(action.name, action.amount, action.lifetime, self.counted)

    def counted(self, name: int, result: str, total: float, elapsed: float) -> None:
        self.feed(api.Counted(name, result, total, elapsed))

    def set_timer(self, action: api.SetTimer) -> None:
        self.loop.call_later(action.delay, self.due, action.label, self.clock() + action.delay)

    def due(self, label: int, at: float) -> None:
        """The loop's timers tick in milliseconds and may fire early; the module would take an early one for
        another and set no further."""
        left = at - self.clock()
        if left > 0:
            self.loop.call_later(left + 0.001, self.due, label, at)
        else:
            self.feed(api.Timer(label))

    # The end

    async def stop(self) -> None:
        """After SIGTERM: goes on while connections still come, then finishes what it has taken."""
        began = time.monotonic()
        self.stopping = True
        await asyncio.sleep(LINGER)
        self.clients.finish()
        if self.works:
            self.done.clear()
            try:
                async with asyncio.timeout(began + FINISH - time.monotonic()):
                    await self.done.wait()
            except TimeoutError:
                for work in list(self.works.values()):
                    self.abandon(work)
        await asyncio.sleep(0)  # the last answers are written at the end of this turn
        self.clients.close()
        self.hosts.close()
        if self.counter:
            self.counter.close()
        await asyncio.gather(self.discovery.close(), *self.endings)

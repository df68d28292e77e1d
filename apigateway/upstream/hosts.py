"""Connections to hosts: attempts, their outcomes, probes.

One attempt at a time on a connection: answers come in order, so a stuck one would hold up those behind it,
and giving one up costs the connection.
"""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import logging
import math
import re
import socket
from collections.abc import Callable, Iterator
from time import monotonic
from typing import Any

import hiredis

from apigateway.platform_settings import read_report
from apigateway.upstream.address import Address
from apigateway.upstream.framing import MOST_BODY, NO_MESSAGE, Framing, FramingError

REST = 0.02  # s after an answer in which what came behind it, a second copy or noise, can still show itself
IDLE_MARGIN = 0.1  # part of the hosts' idle time by which a connection is closed before them
IDLE_CHECK = 0.5  # s between looks for idle connections
AGES = [0.02 * 1.5**k for k in range(18)]  # s; steps of the time that connections have rested, up to 20 s
NEW_COST = 0.1  # part of an attempt that a new connection is worth: the host's work for it, and the time
LOST_LEAST = 2.0  # attempts saved, from which it is more than chance that rested connections are stale
FADE = 30.0  # s after which half of what is known of rested connections is forgotten
MOST_LOAD = 10_000.0  # of any figure in a load report; one beyond would spoil the means for long
MOST_USED = 1_000_000  # percent of a customer's rate; more than that is no figure on use
PROBE = object()  # the tag of an attempt that is a probe

Report = dict[str, float]
REPORT = re.compile(r"(\w+=([0-9]{1,9}(\.[0-9]{1,9})?)?(,|$))+")  # the protocol's form; float() takes more

log = logging.getLogger(__name__)


class Attempt:
    """One command for one host. `done` gets it once, when `result` (of interface.RESULTS) is known."""

    __slots__ = (
        "endpoint_id",
        "payload",
        "done",
        "tag",
        "started",
        "result",
        "value",
        "metered_use",
        "load_report",
        "conn",
        "timer",
    )

    def __init__(self, host: str, payload: bytes, done: Callable[[Attempt], None], tag: Any = None) -> None:
        self.endpoint_id, self.payload, self.done, self.tag, self.started = (
            host,
            payload,
            done,
            tag,
            monotonic(),
        )
        self.result = ""
        self.value = b""
        self.metered_use = 0
        self.load_report: Report = {}
        self.conn: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def elapsed(self) -> float:
        return monotonic() - self.started

    def end(self, result: str) -> None:
        if self.result:
            return
        self.result = result
        if self.timer is not None:
            self.timer.cancel()
        self.done(self)

    @property
    def is_written(self) -> bool:
        """Whether the socket took the last byte: from then on the request may have run."""
        return self.conn is not None and self.conn.written


def parse_report(text: object) -> Report:
    """What a load report says; one that is missing or malformed says nothing."""
    if isinstance(text, bytes):
        text = text.decode("utf-8", "replace")
    if not isinstance(text, str) or not REPORT.fullmatch(text):
        return {}
    report = read_report(pair.split("=", 1) for pair in text.rstrip(",").split(","))
    return report if all(v <= MOST_LOAD for v in report.values()) else {}


class Staleness:
    """After which rest a connection is worse than a new one.

    What lies between may drop connections that rest, for less than the hosts allow, and tell neither end: the
    next request is then reset. That covers address translation, a proxy's or a host's own shorter limit and a
    host that was replaced at its address. `limit` is the rest beyond which closing would have saved the most
    attempts. Harm: where resets come by chance alone, a new connection is made for nothing until half is
    forgotten; what has got better is found as late."""

    def __init__(self) -> None:
        self.uses, self.lost = [0.0] * (len(AGES) + 1), [0.0] * (len(AGES) + 1)
        self.new_uses, self.new_lost = 10.0, 0.0  # as if some had gone well: a first reset says little
        self.limit = math.inf

    def note(self, rested: float, lost: bool) -> None:
        """What came of an attempt on a connection that had rested so long; 0: a new one."""
        if rested <= 0:
            self.new_uses, self.new_lost = self.new_uses + 1, self.new_lost + lost
            return
        step = bisect.bisect(AGES, rested)
        self.uses[step] += 1
        self.lost[step] += lost
        if lost:
            self.learn()

    def learn(self) -> None:
        saved, most, self.limit = 0.0, LOST_LEAST, math.inf
        usual = self.new_lost / self.new_uses + NEW_COST
        for step in range(len(AGES), 0, -1):
            saved += self.lost[step] - self.uses[step] * usual
            if saved > most:
                most, self.limit = saved, AGES[step - 1]

    def fade(self, seconds: float) -> None:
        keep = 0.5 ** (seconds / FADE)
        self.uses, self.lost = [n * keep for n in self.uses], [n * keep for n in self.lost]
        self.new_uses, self.new_lost = 10.0 + (self.new_uses - 10.0) * keep, self.new_lost * keep
        self.learn()


class Connection(asyncio.Protocol):
    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.framing = Framing()
        self.attempt: Attempt | None = None
        self.written, self.idle_since = True, 0.0
        self.rested, self.heard = 0.0, False  # s before its attempt, 0 on a new one; anything of an answer
        self.transport: asyncio.Transport | None = None
        self.family, self.descriptor = 0, -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        told = transport.get_extra_info("socket")
        self.family, self.descriptor = told.family, told.fileno()
        # With no room above the socket, pause_writing tells at once that it did not take every byte.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        self.written = False

    def resume_writing(self) -> None:
        self.written = True

    @contextlib.contextmanager
    def borrowed(self) -> Iterator[socket.socket]:
        """The open transport's socket, for one call. It is not kept: uvloop drops a transport whose connect
        is called off without connection_lost, and a socket left over would close another's descriptor."""
        sock = socket.socket(self.family, socket.SOCK_STREAM, 0, self.descriptor)
        try:
            yield sock
        finally:
            sock.detach()

    def quiet(self) -> bool:
        """Whether nothing is to be read, not even the end: what follows an answer is never the next one."""
        if self.transport is None or self.transport.is_closing():
            return False
        with self.borrowed() as sock:
            try:
                sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return True
            except OSError:
                pass
        return False

    def start(self, attempt: Attempt) -> None:
        assert self.transport is not None
        self.attempt, attempt.conn = attempt, self
        self.rested, self.heard = attempt.started - self.idle_since if self.idle_since else 0.0, False
        self.transport.write(attempt.payload)
        if self.transport.is_closing():  # the write failed at once, so the socket took nothing
            self.written = False

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:  # an answer that nobody waits for
            self.close()
            return
        self.heard = True
        self.framing.feed(data)
        try:
            reply = self.framing.take()
            if reply is NO_MESSAGE:
                return
            result = read_reply(attempt, reply)
        except FramingError:  # the request has run, and where the next answer would begin is not known
            self.close()
            return
        except Exception:  # nobody else would end this attempt before its time is up
            log.exception("an answer could not be read")
            self.close()
            return
        self.attempt = None
        self.pool.hosts.staleness.note(self.rested, False)
        if self.framing.buffer:  # more than belongs to this answer: the next would be read from it
            self.close()
        else:
            self.pool.rest(self)
        attempt.end(result)

    def connection_lost(self, exc: Exception | None) -> None:
        self.close()

    def close(self) -> None:
        """Ends the connection now: the socket is shut at once, before another attempt can be sent."""
        attempt, self.attempt = self.attempt, None
        self.pool.drop(self)
        if self.transport is not None and not self.transport.is_closing():
            with self.borrowed() as sock, contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
        if attempt is not None:
            if not self.heard:  # an answer that breaks off shows that the request got there
                self.pool.hosts.staleness.note(self.rested, True)
            attempt.end("reset" if self.written else "connect_failed")


def read_reply(attempt: Attempt, reply: object) -> str:
    """Fills in what the answer says and tells the outcome. What no host would say is spoilt: it may have run,
    and serving anything for it would be made up."""
    if isinstance(reply, list) and attempt.tag is not PROBE:
        if len(reply) != 3 or not isinstance(reply[0], bytes) or len(reply[0]) > MOST_BODY:
            raise FramingError("no value of a host")
        attempt.value = reply[0]
        if isinstance(reply[1], int) and 0 <= reply[1] <= MOST_USED:
            attempt.metered_use = reply[1]
        attempt.load_report = parse_report(reply[2])
        return "ok"
    if isinstance(reply, hiredis.ReplyError):
        words = str(reply).split(" ")
        attempt.load_report = parse_report(words[-1])
        return "full" if words[0] == "BUSY" else "error"
    if isinstance(reply, bytes) and attempt.tag is PROBE:
        attempt.load_report = parse_report(reply)
        return "ok"
    raise FramingError("no answer of a host")


class Pool:
    """The connections to one host: those that rest, the latest used last, and those that are coming up."""

    def __init__(self, hosts: Hosts, address: Address) -> None:
        self.hosts, self.address, self.up = hosts, address, True
        self.idle: list[Connection] = []
        self.coming: dict[Attempt, asyncio.Task[None]] = {}

    def start(self, attempt: Attempt) -> None:
        now = monotonic()
        latest, first = now - REST, now - min(self.hosts.staleness.limit, self.hosts.idle_most)
        for conn in [conn for conn in reversed(self.idle) if first < conn.idle_since <= latest]:
            if conn.quiet():
                self.idle.remove(conn)
                conn.start(attempt)
                return
            conn.close()
        if not self.hosts.room():
            asyncio.get_running_loop().call_soon(attempt.end, "connect_failed")
            return
        self.coming[attempt] = asyncio.get_running_loop().create_task(self.connect(attempt))

    async def connect(self, attempt: Attempt) -> None:
        loop = asyncio.get_running_loop()
        conn: Connection | None = None
        try:
            async with asyncio.timeout(self.hosts.connect_timeout):
                _, conn = await loop.create_connection(lambda: Connection(self), *self.address)
        except (OSError, ValueError):  # refused, out of time or descriptors, or no address at all
            pass
        finally:
            waiting = self.coming.pop(attempt, None) is not None
        if conn is not None:
            self.hosts.conns.add(conn)
            if waiting and not attempt.result and self.up and not conn.transport.is_closing():
                conn.start(attempt)
                return
            conn.close()
        if waiting:
            attempt.end("connect_failed")

    def rest(self, conn: Connection) -> None:
        if self.up:
            conn.idle_since = monotonic()
            self.idle.append(conn)
        else:
            conn.close()

    def drop(self, conn: Connection) -> None:
        if conn in self.idle:
            self.idle.remove(conn)
        self.hosts.conns.discard(conn)

    def close_idle(self, before: float = math.inf) -> None:
        for conn in [c for c in self.idle if c.idle_since < before]:
            conn.close()

    def stop(self) -> None:
        """Nothing new goes to this address, nor what still waits for a connection to it."""
        self.up = False
        self.close_idle()
        for attempt, task in list(self.coming.items()):
            del self.coming[attempt]
            task.cancel()
            attempt.end("connect_failed")


class Hosts:
    create_attempt = Attempt

    def __init__(self, connect_timeout: float, idle_close: float, most: int) -> None:
        self.connect_timeout, self.most = connect_timeout, most
        self.idle_most = idle_close * (1 - IDLE_MARGIN)
        self.idle_time = self.idle_most - IDLE_CHECK
        self.staleness = Staleness()  # over all hosts: what drops connections seldom lies at one of them
        self.pools: dict[str, Pool] = {}
        self.conns: set[Connection] = set()
        self.check: asyncio.TimerHandle | None = None

    def update_endpoint(self, host: str, address: Address | None) -> None:
        """Where the host is now; None: nothing new goes to it."""
        pool = self.pools.get(host)
        if pool is not None and pool.address != address:
            pool.stop()
            del self.pools[host]
        if address is not None and host not in self.pools:
            self.pools[host] = Pool(self, address)

    def known_endpoints(self) -> set[str]:
        return set(self.pools)

    def send(self, attempt: Attempt, timeout: float) -> None:
        loop = asyncio.get_running_loop()
        pool = self.pools.get(attempt.endpoint_id)
        if pool is None:
            loop.call_soon(attempt.end, "connect_failed")
            return
        attempt.timer = loop.call_later(timeout, self.abandon, attempt, "timeout")
        pool.start(attempt)

    def check_health(self, host: str, done: Callable[[Attempt], None]) -> None:
        self.send(Attempt(host, b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n", done, PROBE), self.connect_timeout)

    def abandon(self, attempt: Attempt, result: str) -> None:
        """Stops waiting. The connection goes too: a late answer must not meet the next request on it."""
        if attempt.result:
            return
        conn = attempt.conn
        if conn is None:
            pool = self.pools.get(attempt.endpoint_id)
            task = pool.coming.pop(attempt, None) if pool else None
            if task is not None:
                task.cancel()
            attempt.end("connect_failed")
            return
        if not conn.written:
            result = "connect_failed"
        conn.attempt = None
        conn.close()
        attempt.end(result)

    @property
    def open(self) -> int:
        """Connections, those that are coming up among them. Counted, not kept: a task that is cancelled
        before its first step could not take itself off again."""
        return len(self.conns) + sum(len(pool.coming) for pool in self.pools.values())

    def room(self) -> bool:
        if self.open < self.most:
            return True
        oldest = min(
            (p.idle[0] for p in self.pools.values() if p.idle), key=lambda c: c.idle_since, default=None
        )
        if oldest is None:
            return False
        oldest.close()
        return True

    def close_idle_connections(self, host: str) -> None:
        if host in self.pools:
            self.pools[host].close_idle()

    def close_stale(self) -> None:
        """Closes what has rested nearly as long as hosts allow, or so long that it may have been dropped: a
        request that meets either is reset."""
        self.staleness.fade(IDLE_CHECK)
        before = monotonic() - min(self.idle_time, self.staleness.limit)
        for pool in self.pools.values():
            if pool.idle and pool.idle[0].idle_since < before:
                pool.close_idle(before)

    def start_checks(self) -> None:
        self.close_stale()
        self.check = asyncio.get_running_loop().call_later(IDLE_CHECK, self.start_checks)

    def close(self) -> None:
        if self.check is not None:
            self.check.cancel()
        for pool in self.pools.values():
            pool.stop()
        for conn in list(self.conns):
            conn.close()

"""Discovery's HTTP calls: the complete list of hosts once, then a watch for its changes.

`watch_schedule` says when.
"""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections.abc import Callable
from enum import Enum, auto

import aiohttp

from apigateway.membership.listing import Listing, read_list
from apigateway.membership.watch_schedule import WatchPacer, WatchSchedule
from apigateway.upstream.address import Address

REJECTION_STATUSES = (429, 503)  # of a service that has no capacity for the call
MOST_LIST = 1024 * 1024  # bytes of an answer: one without end must not fill the memory

log = logging.getLogger(__name__)


class CallResult(Enum):
    """How a call of discovery ended."""

    ANSWERED = auto()
    REJECTED = auto()  # for want of capacity
    FAILED = auto()


class Discovery:
    """`told` gets each list, `failed` hears of each call that failed."""

    def __init__(
        self,
        address: Address,
        version: int,
        told: Callable[[Listing], None],
        failed: Callable[[], None],
        schedule: WatchSchedule,
    ) -> None:
        host, port = address
        self.schedule = schedule
        self.pacer = WatchPacer(schedule, random.Random())
        self.trouble = ""
        self.taken = 0  # answers
        self.url = f"http://{f'[{host}]' if ':' in host else host}:{port}/v1/endpoints"
        self.version, self.told, self.failed = version, told, failed
        self.session: aiohttp.ClientSession | None = None
        self.watching: asyncio.Task[None] | None = None
        self.overdue_watch: asyncio.Task[CallResult] | None = None
        self.fetching: set[asyncio.Task[CallResult]] = set()

    async def get(self, params: dict[str, int], limit: float) -> None:
        if self.session is None:
            self.session = aiohttp.ClientSession(trust_env=False)
        before = self.taken
        async with self.session.get(
            self.url, params=params, timeout=aiohttp.ClientTimeout(total=limit)
        ) as answer:
            answer.raise_for_status()
            body = bytearray()
            async for chunk in answer.content.iter_any():
                body += chunk
                if len(body) > MOST_LIST:
                    raise ValueError("an answer without end")
        listing = read_list(json.loads(body))
        if listing.hosts.version < self.version:
            if listing.hosts.mode == "delta":
                raise ValueError("changes to an older list than the last")  # they may bring back what is gone
            if self.taken > before:  # one that was asked for earlier and came later would bring it back too
                return
        self.version, self.taken = listing.hosts.version, self.taken + 1
        self.told(listing)

    async def attempt(self, params: dict[str, int], limit: float) -> CallResult:
        try:
            await self.get(params, limit)
        except Exception as err:  # whatever it is, the watch must outlive it
            told = f"{type(err).__name__} {err}"
            if told != self.trouble:  # while discovery is down it is asked several times a second
                log.warning("discovery: %s; the last list stays", told)
            self.trouble = told
            self.failed()
            if isinstance(err, aiohttp.ClientResponseError) and err.status in REJECTION_STATUSES:
                return CallResult.REJECTED
            return CallResult.FAILED
        self.trouble = ""
        return CallResult.ANSWERED

    def call(self, params: dict[str, int], limit: float) -> asyncio.Task[CallResult]:
        return asyncio.get_running_loop().create_task(self.attempt(params, limit))

    async def complete_list(self) -> CallResult:
        """Request the complete list. While discovery is down an agent never answers a call, not even after
        discovery's return, so another call is made beside one that takes long. A late answer counts too, also
        that of a watch that is overdue."""
        loop = asyncio.get_running_loop()
        calls = set[asyncio.Task[CallResult]]()
        result = CallResult.FAILED
        next_call = loop.time()
        try:
            while calls or next_call <= loop.time():
                if next_call <= loop.time():
                    calls.add(self.call({}, self.schedule.call_timeout))
                    next_call = loop.time() + self.schedule.hedge_after
                timeout = None if next_call == math.inf else max(0.0, next_call - loop.time())
                watch = {self.overdue_watch} if self.overdue_watch is not None else set()
                ended, _ = await asyncio.wait(
                    calls | watch, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                calls -= ended
                if ended & watch:
                    self.overdue_watch = None
                for call in ended:
                    result = call.result()
                    if result is CallResult.ANSWERED:
                        return result
            return result
        finally:
            for call in calls:
                call.cancel()

    async def watch_changes(self) -> CallResult:
        """Hold one watch. One that is overdue stays open as `overdue_watch` while its answer would count."""
        schedule = self.schedule
        wait = self.pacer.next_wait()
        params = {"index": self.version, "wait": int(wait * 1000)}
        watch = self.overdue_watch = self.call(params, wait + schedule.overdue + schedule.late_answer)
        await asyncio.wait({watch}, timeout=wait + schedule.overdue if schedule.late_answer else None)
        if not watch.done():
            return CallResult.FAILED
        self.overdue_watch = None
        return watch.result()

    async def run(self) -> None:
        """Request the complete list, then watch; at once after each answer: past 200 ms it is a new watch.

        After a failure the complete list comes first again; after a rejection by a service that is polled the
        same call, which may cost the service less.
        """
        is_listed = False
        while True:
            result = await (self.watch_changes() if is_listed else self.complete_list())
            if result is CallResult.ANSWERED:
                self.end_overdue_watch()
                self.pacer.on_answer()
                is_listed = True
            elif result is CallResult.REJECTED and self.schedule.is_polled:
                await asyncio.sleep(self.pacer.next_backoff())
            else:
                if not is_listed:
                    await asyncio.sleep(self.pacer.next_backoff())
                is_listed = False

    def end_overdue_watch(self) -> None:
        if self.overdue_watch is not None:
            self.overdue_watch.cancel()
            self.overdue_watch = None

    def watch(self, on: bool) -> None:
        if on and self.watching is None:
            self.watching = asyncio.get_running_loop().create_task(self.run())
        elif not on and self.watching is not None:
            self.watching.cancel()
            self.watching = None
            self.end_overdue_watch()

    def fetch(self) -> None:
        task = self.call({}, self.schedule.call_timeout)
        self.fetching.add(task)
        task.add_done_callback(self.fetching.discard)

    async def close(self) -> None:
        """Nothing is told from now on."""
        self.watch(False)
        for task in self.fetching:
            task.cancel()
        if self.session is not None:
            await self.session.close()

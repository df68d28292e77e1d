"""Discovery's HTTP calls: the complete endpoint list once, then a watch for its changes.

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

from apigateway.membership.listing import EndpointListing, listing_from_json
from apigateway.membership.watch_schedule import WatchPacer, WatchSchedule
from apigateway.messages import ListMode
from apigateway.upstream.address import Address

REJECTION_STATUSES = (429, 503)  # of a service that has no capacity for the call
MAX_RESPONSE_BYTES = 1024 * 1024  # a response without end must not fill the memory

log = logging.getLogger(__name__)


class CallResult(Enum):
    """How a call of discovery ended."""

    ANSWERED = auto()
    REJECTED = auto()  # for want of capacity
    FAILED = auto()


class DiscoveryClient:
    """Keep the endpoint list up to date from discovery, in the shape of `core.interfaces.EndpointSource`.

    Args:
        address: of the agent or service.
        version: of the last known list.
        on_list: called with each list, complete or delta.
        on_failure: called after each call that failed.
        schedule: when calls are made.
        is_list_known: whether `version` is of a list that this service gave before. A polled service is then
            watched from there on at once, since its complete list would cost it more.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        on_list: Callable[[EndpointListing], None],
        on_failure: Callable[[], None],
        schedule: WatchSchedule,
        is_list_known: bool = False,
    ) -> None:
        host, port = address
        self.url = f"http://{f'[{host}]' if ':' in host else host}:{port}/v1/endpoints"
        self.version = version
        self.schedule = schedule
        self.lists_received = 0
        self.fetching: set[asyncio.Task[CallResult]] = set()
        self._on_list = on_list
        self._on_failure = on_failure
        self._is_list_known = is_list_known and schedule.is_polled
        self._pacer = WatchPacer(schedule, random.Random())
        self._last_failure = ""  # as it was logged; empty after an answer
        self._session: aiohttp.ClientSession | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._overdue_watch: asyncio.Task[CallResult] | None = None

    @property
    def watching(self) -> bool:
        """Whether changes are watched."""
        return self._watch_task is not None

    def watch(self, on: bool) -> None:
        """Start or stop watching; a start requests the complete list first."""
        if on and self._watch_task is None:
            self._watch_task = asyncio.get_running_loop().create_task(self._run())
        elif not on and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
            self._end_overdue_watch()

    def fetch(self) -> None:
        """Request the complete list once, beside the watch."""
        task = self._start_call({}, self.schedule.call_timeout)
        self.fetching.add(task)
        task.add_done_callback(self.fetching.discard)

    async def close(self) -> None:
        """End all calls: neither callback is called from now on."""
        self.watch(False)
        for task in self.fetching:
            task.cancel()
        if self._session is not None:
            await self._session.close()

    # One call

    def _start_call(self, params: dict[str, int], timeout: float) -> asyncio.Task[CallResult]:
        return asyncio.get_running_loop().create_task(self._call(params, timeout))

    async def _call(self, params: dict[str, int], timeout: float) -> CallResult:
        try:
            await self._request(params, timeout)
        except Exception as err:  # whatever it is, the watch must outlive it
            failure = f"{type(err).__name__} {err}"
            if failure != self._last_failure:  # while discovery is down it is called several times a second
                log.warning("discovery: %s; the last list stays", failure)
            self._last_failure = failure
            self._on_failure()
            if isinstance(err, aiohttp.ClientResponseError) and err.status in REJECTION_STATUSES:
                return CallResult.REJECTED
            return CallResult.FAILED
        self._last_failure = ""
        return CallResult.ANSWERED

    async def _request(self, params: dict[str, int], timeout: float) -> None:
        """Request a list and deliver it. Raises whatever goes wrong."""
        if self._session is None:
            self._session = aiohttp.ClientSession(trust_env=False)
        received_before = self.lists_received
        async with self._session.get(
            self.url, params=params, timeout=aiohttp.ClientTimeout(total=timeout)
        ) as response:
            response.raise_for_status()
            body = await _read_body(response)
        listing = listing_from_json(json.loads(body))
        if listing.endpoint_list.version < self.version:
            if listing.endpoint_list.mode == ListMode.DELTA:  # it may bring back what is gone
                raise ValueError("changes to an older list than the last")
            if self.lists_received > received_before:  # so may a list requested earlier that arrives later
                return
        self.version = listing.endpoint_list.version
        self.lists_received += 1
        self._on_list(listing)

    # The watch

    async def _run(self) -> None:
        """Request the complete list, then watch; at once after each answer: past 200 ms it is a new watch.

        After a failure the complete list comes first again; after a rejection by a service that is polled the
        same call, which may cost the service less.
        """
        is_listed = self._is_list_known
        while True:
            result = await (self._watch_changes() if is_listed else self._request_complete_list())
            if result is CallResult.ANSWERED:
                self._end_overdue_watch()
                self._pacer.on_answer()
                is_listed = True
            elif result is CallResult.REJECTED and self.schedule.is_polled:
                await asyncio.sleep(self._pacer.next_backoff())
            else:
                if not is_listed:
                    await asyncio.sleep(self._pacer.next_backoff())
                is_listed = False

    async def _watch_changes(self) -> CallResult:
        """Hold one watch. One that is overdue stays open as `_overdue_watch` while its answer would count."""
        schedule = self.schedule
        wait = self._pacer.next_wait()
        params = {"index": self.version, "wait": int(wait * 1000)}
        watch = self._start_call(params, wait + schedule.overdue + schedule.late_answer)
        self._overdue_watch = watch
        await asyncio.wait({watch}, timeout=wait + schedule.overdue if schedule.late_answer else None)
        if not watch.done():
            return CallResult.FAILED
        self._overdue_watch = None
        return watch.result()

    async def _request_complete_list(self) -> CallResult:
        """Request the complete list, with hedged calls.

        While discovery is down an agent never answers a call, not even after discovery's return, so another
        call is made beside one that takes long. A late answer counts too, also that of a watch that is
        overdue.
        """
        loop = asyncio.get_running_loop()
        calls = set[asyncio.Task[CallResult]]()
        result = CallResult.FAILED
        next_call = loop.time()
        try:
            while calls or next_call <= loop.time():
                if next_call <= loop.time():
                    calls.add(self._start_call({}, self.schedule.call_timeout))
                    next_call = loop.time() + self.schedule.hedge_after
                timeout = None if next_call == math.inf else max(0.0, next_call - loop.time())
                watch = {self._overdue_watch} if self._overdue_watch is not None else set()
                ended, _ = await asyncio.wait(
                    calls | watch, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                calls -= ended
                if ended & watch:
                    self._overdue_watch = None
                for call in ended:
                    result = call.result()
                    if result is CallResult.ANSWERED:
                        return result
            return result
        finally:
            for call in calls:
                call.cancel()

    def _end_overdue_watch(self) -> None:
        if self._overdue_watch is not None:
            self._overdue_watch.cancel()
            self._overdue_watch = None


async def _read_body(response: aiohttp.ClientResponse) -> bytearray:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise ValueError("an answer without end")
    return body

"""HTTP client for discovery: requests the complete endpoint list once, then watches it for changes.

`watch_schedule` defines the timing of the calls.
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

from apigateway.event_loop import timeout_after_poll
from apigateway.membership.listing import EndpointListing, listing_from_json
from apigateway.membership.watch_schedule import WatchPacer, WatchSchedule
from apigateway.messages import ListMode
from apigateway.upstream.address import Address

REJECTION_STATUSES = (429, 503)  # sent by a service that has no capacity for the call
NO_TIMEOUT = aiohttp.ClientTimeout()  # calls are limited by `timeout_after_poll`
MAX_HOSTS = 3200  # in a list, by the platform
MAX_ENTRY_BYTES = 1024  # of one host, with the blanks of an indented list
MAX_RESPONSE_BYTES = MAX_HOSTS * MAX_ENTRY_BYTES  # bounds the memory that an endless response can use

log = logging.getLogger(__name__)


class CallResult(Enum):
    """The outcome of a call to discovery."""

    ANSWERED = auto()
    REJECTED = auto()  # the service has no capacity
    FAILED = auto()


class DiscoveryClient:
    """Keeps the endpoint list up to date from discovery; implements `core.interfaces.EndpointSource`.

    Args:
        address: address of the agent or service.
        version: version of the last known list.
        on_list: called with each list, complete or delta.
        on_failure: called after each call that failed.
        schedule: timing of the calls.
        is_list_known: whether `version` belongs to a list that this service sent before. A polled service is
            then watched from that version at once, because sending its complete list would cost it more.
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
        self.fetch_tasks: set[asyncio.Task[CallResult]] = set()
        self._on_list = on_list
        self._on_failure = on_failure
        self._is_list_known = is_list_known and schedule.is_polled
        self._pacer = WatchPacer(schedule, random.Random())
        self._last_failure = ""  # the text that was logged; empty after an answer
        self._session: aiohttp.ClientSession | None = None
        self._watch_task: asyncio.Task[None] | None = None
        self._overdue_watch: asyncio.Task[CallResult] | None = None

    @property
    def watching(self) -> bool:
        """Whether the watch is running."""
        return self._watch_task is not None

    def watch(self, is_on: bool) -> None:
        """Start or stop the watch; starting it requests the complete list first."""
        if is_on and self._watch_task is None:
            self._watch_task = asyncio.get_running_loop().create_task(self._run())
        elif not is_on and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
            self._end_overdue_watch()

    def fetch(self) -> None:
        """Request the complete list once, independently of the watch."""
        task = self._start_call({}, self.schedule.call_timeout)
        self.fetch_tasks.add(task)
        task.add_done_callback(self.fetch_tasks.discard)

    async def close(self) -> None:
        """Cancel all calls; neither callback is called afterwards."""
        self.watch(False)
        for task in self.fetch_tasks:
            task.cancel()
        if self._session is not None:
            await self._session.close()

    # Calls

    def _start_call(self, params: dict[str, int], timeout: float) -> asyncio.Task[CallResult]:
        return asyncio.get_running_loop().create_task(self._call(params, timeout))

    async def _call(self, params: dict[str, int], timeout: float) -> CallResult:
        try:
            await self._request(params, timeout)
        except Exception as err:  # no error may end the watch
            failure = f"{type(err).__name__} {err}"
            # While discovery is down, calls are retried several times a second: log only changes.
            if failure != self._last_failure:
                log.warning("discovery: %s; keeping the last list", failure)
            self._last_failure = failure
            self._on_failure()
            if isinstance(err, aiohttp.ClientResponseError) and err.status in REJECTION_STATUSES:
                return CallResult.REJECTED
            return CallResult.FAILED
        self._last_failure = ""
        return CallResult.ANSWERED

    async def _request(self, params: dict[str, int], timeout: float) -> None:
        """Request a list and pass it to `on_list`. Raises any exception of the call."""
        if self._session is None:
            self._session = aiohttp.ClientSession(trust_env=False)
        lists_received_before = self.lists_received
        async with (
            timeout_after_poll(timeout),
            self._session.get(self.url, params=params, timeout=NO_TIMEOUT) as response,
        ):
            response.raise_for_status()
            body = await _read_body(response)
        listing = listing_from_json(json.loads(body))
        if listing.endpoint_list.version < self.version:
            if listing.endpoint_list.mode == ListMode.DELTA:  # it could bring removed endpoints back
                raise ValueError("the delta is older than the last list")
            if self.lists_received > lists_received_before:  # as could one overtaken by a newer list
                return
        self.version = listing.endpoint_list.version
        self.lists_received += 1
        self._on_list(listing)

    # The watch

    async def _run(self) -> None:
        """Request the complete list, then watch for changes until cancelled.

        Each answer is followed by the next watch at once, because discovery treats a call after a gap of more
        than 200 ms as a new watch. After a failure the complete list is requested again. After a rejection by
        a polled service the same call is repeated, which may cost the service less.
        """
        has_list = self._is_list_known
        while True:
            result = await (self._watch_changes() if has_list else self._request_complete_list())
            if result is CallResult.ANSWERED:
                self._end_overdue_watch()
                self._pacer.on_answer()
                has_list = True
            elif result is CallResult.REJECTED and self.schedule.is_polled:
                await asyncio.sleep(self._pacer.next_backoff())
            else:
                if not has_list:
                    await asyncio.sleep(self._pacer.next_backoff())
                has_list = False

    async def _watch_changes(self) -> CallResult:
        """Make one watch call; an overdue one stays open as `_overdue_watch` while its answer counts."""
        schedule = self.schedule
        wait = self._pacer.next_wait()
        params = {"index": self.version, "wait": int(wait * 1000)}
        watch = self._start_call(params, wait + schedule.overdue_after + schedule.late_answer_time)
        self._overdue_watch = watch
        await asyncio.wait(
            {watch}, timeout=wait + schedule.overdue_after if schedule.late_answer_time else None
        )
        if not watch.done():
            return CallResult.FAILED
        self._overdue_watch = None
        return watch.result()

    async def _request_complete_list(self) -> CallResult:
        """Request the complete list, with hedged calls.

        A call that an agent receives while discovery is down is never answered, not even after discovery has
        recovered, so a call that takes long is hedged with another one. Late answers still count, including
        the answer to an overdue watch.
        """
        loop = asyncio.get_running_loop()
        calls = set[asyncio.Task[CallResult]]()
        result = CallResult.FAILED
        next_call_at = loop.time()
        try:
            while calls or next_call_at <= loop.time():
                if next_call_at <= loop.time():
                    calls.add(self._start_call({}, self.schedule.call_timeout))
                    next_call_at = loop.time() + self.schedule.hedge_after
                timeout = None if next_call_at == math.inf else max(0.0, next_call_at - loop.time())
                overdue_watches = {self._overdue_watch} if self._overdue_watch is not None else set()
                done, _ = await asyncio.wait(
                    calls | overdue_watches, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                calls -= done
                if done & overdue_watches:
                    self._overdue_watch = None
                for call in done:
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
            raise ValueError("the response is too long")
    return body

"""Discovery: the whole list of hosts once, then a watch for its changes.

A host that drains may get nothing new once the grace is over, and the grace runs from when the agent beside
this gateway knew of it, whether or not a watch was open and heard it. So the times of a watch that dies add
up to less than the grace: how long it is held, how late its answer may be, after what silence another call
is made.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiohttp

from calicomast.membership.listing import Listing, read_list
from calicomast.net.address import Address

ANSWER = 2.0  # s after which a call for the whole list is given up
MOST_LIST = 1024 * 1024  # bytes of an answer: one without end must not fill the memory
PAUSE = 0.05  # s after the first failure before the next try; doubles up to `Pace.again`

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Pace:
    """Times in seconds. Their sum is what a change is heard late by when a watch dies at the worst time."""

    wait: float  # that discovery may hold a watch open
    late: float  # past that, after which a watch is taken to have died
    again: float  # without an answer to a call for the whole list, after which another is made beside it

    @classmethod
    def within(cls, grace: float) -> Pace:
        """0.85 of the grace in all; bounded, so that a short one costs few calls, a long one no patience."""
        return cls(min(2.0, max(0.1, 0.5 * grace)), min(1.0, max(0.05, 0.2 * grace)),
                   min(0.5, max(0.05, 0.15 * grace)))


class Discovery:
    """`told` gets each list, `failed` hears of each call that failed. `grace`: s that a host may get new
    requests after it was told to drain."""

    def __init__(self, address: Address, version: int, told: Callable[[Listing], None],
                 failed: Callable[[], None], grace: float) -> None:
        host, port = address
        self.pace, self.trouble = Pace.within(grace), ""
        self.taken = 0  # answers
        self.url = f"http://{f'[{host}]' if ':' in host else host}:{port}/v1/endpoints"
        self.version, self.told, self.failed = version, told, failed
        self.session: aiohttp.ClientSession | None = None
        self.watching: asyncio.Task[None] | None = None
        self.fetching: set[asyncio.Task[None]] = set()

    async def get(self, params: dict[str, int], limit: float) -> None:
        if self.session is None:
            self.session = aiohttp.ClientSession(trust_env=False)
        before = self.taken
        async with self.session.get(self.url, params=params,
                                    timeout=aiohttp.ClientTimeout(total=limit)) as answer:
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

    async def attempt(self, params: dict[str, int], limit: float) -> bool:
        try:
            await self.get(params, limit)
        except Exception as err:  # whatever it is, the watch must outlive it
            told = f"{type(err).__name__} {err}"
            if told != self.trouble:  # while discovery is down it is asked several times a second
                log.warning("discovery: %s; the last list stays", told)
            self.trouble = told
            self.failed()
            return False
        self.trouble = ""
        return True

    async def whole(self) -> bool:
        """The whole list. The agent answers at once or, while discovery is down, never, not even after its
        return: while nothing comes another call is made beside those out. A late answer counts too."""
        calls, now = set[asyncio.Task[bool]](), asyncio.get_running_loop().time
        again = now()
        try:
            while True:
                if now() >= again:
                    calls.add(asyncio.get_running_loop().create_task(self.attempt({}, ANSWER)))
                    again = now() + self.pace.again
                ended, calls = await asyncio.wait(calls, timeout=max(0.0, again - now()),
                                                  return_when=asyncio.FIRST_COMPLETED)
                if any(call.result() for call in ended):
                    return True
                if not calls:
                    return False
        finally:
            for call in calls:
                call.cancel()

    async def run(self) -> None:
        pause, whole, pace = PAUSE, True, self.pace
        while True:
            if whole:
                done = await self.whole()
            else:  # at once after the last answer: past 200 ms it would be a new watch
                done = await self.attempt({"index": self.version, "wait": int(pace.wait * 1000)},
                                          pace.wait + pace.late)
            if done:
                pause, whole = PAUSE, False
            elif whole:
                await asyncio.sleep(pause)
                pause = min(max(PAUSE, pace.again), 2 * pause)
            else:
                whole = True

    def watch(self, on: bool) -> None:
        if on and self.watching is None:
            self.watching = asyncio.get_running_loop().create_task(self.run())
        elif not on and self.watching is not None:
            self.watching.cancel()
            self.watching = None

    def fetch(self) -> None:
        task: asyncio.Task[Any] = asyncio.get_running_loop().create_task(self.attempt({}, ANSWER))
        self.fetching.add(task)
        task.add_done_callback(self.fetching.discard)

    async def close(self) -> None:
        """Nothing is told from now on."""
        self.watch(False)
        for task in self.fetching:
            task.cancel()
        if self.session is not None:
            await self.session.close()

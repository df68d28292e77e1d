"""A registry as a source of the list of hosts: polls, fail-over, bounds. What to believe is `belief`'s to
say."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field

import aiohttp

from apigateway.membership.eureka.mapping import InstanceMapping, read_endpoints
from apigateway.membership.eureka.model import (
    EurekaInstance,
    MalformedResponseError,
    RegistryResponse,
)
from apigateway.membership.eureka.parser import read_json, read_xml
from apigateway.membership.eureka.registry_cache import RegistryCache
from apigateway.membership.listing import Listing
from apigateway.membership.reconciler import EndpointReconciler, ReconcilerSettings
from apigateway.membership.reconciler_driver import ReconcilerDriver
from apigateway.upstream.address import Address

BACKOFF_MOST = 30.0  # s between polls while no registry answers
PATHS = {"apps": "apps", "app": "apps/{}", "vip": "vips/{}", "svip": "svips/{}"}
ACCEPT = {"json": "application/json", "xml": "application/xml"}
LONG = 64 * 1024  # bytes of an answer that is read beside the loop
MANY = 100  # instances, likewise
MOST_ODD = 3  # of the instances of one answer that cannot be read, that are named in the log

log = logging.getLogger(__name__)

Resolve = Callable[[str], Awaitable[str]]


class UnusableResponseError(Exception):
    """An answer that cannot be used, or none."""


@dataclass(frozen=True, slots=True)
class RegistrySettings:
    """How to ask. `urls` are base paths, as `http://host:8761/eureka/v2`, tried in this order."""

    urls: tuple[str, ...]
    lookup: str = "apps"  # a key of PATHS
    name: str = ""  # of the app or vip; with `apps`, only this app's instances where it is set
    form: str = "json"
    poll_interval: float = 5.0  # s
    timeout: float = 2.0  # s
    max_response_bytes: int = 32 * 1024 * 1024  # bytes of an answer, unpacked
    user: str = ""
    password: str = field(default="", repr=False)
    delta: bool = True
    mapping: InstanceMapping = field(default_factory=InstanceMapping)
    reconciler: ReconcilerSettings = field(default_factory=ReconcilerSettings)


class EurekaSource:
    """In the shape of `core.ports.Membership`. `told` gets what changed in what is believed, `failed` hears
    of each poll that failed. `own` addresses are never told: a gateway must not route to itself."""

    def __init__(
        self,
        registry: RegistrySettings,
        known: Listing,
        told: Callable[[Listing], None],
        failed: Callable[[], None],
        own: Collection[Address] = (),
        resolve: Resolve | None = None,
        clock: Callable[[], float] = time.time,
        seed: int | None = None,
        reconciler: EndpointReconciler | None = None,
    ) -> None:
        self.registry, self.failed, self.own, self.clock = registry, failed, set(own), clock
        self.resolve, self.rng = resolve, random.Random(seed)
        self.driver, self.cache = (
            ReconcilerDriver(registry.reconciler, known, told, clock, reconciler),
            RegistryCache(),
        )
        self.reconciler = self.driver.reconciler
        self.at = 0  # which registry is asked
        self.fails = 0  # polls in a row
        self._etags: dict[str, str] = {}
        self.names: dict[str, str] = {}  # host names that were resolved
        self.session: aiohttp.ClientSession | None = None
        self.watcher: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[bool]] = set()
        self.malformed: tuple[str, ...] = ()  # what could not be read in the last answer

    @property
    def version(self) -> int:
        return self.reconciler.version

    @property
    def watching(self) -> bool:
        return self.watcher is not None

    # core.ports.Membership

    def watch(self, on: bool) -> None:
        if on and self.watcher is None:
            self.watcher = asyncio.get_running_loop().create_task(self.run())
        elif not on and self.watcher is not None:
            self.watcher.cancel()
            self.watcher = None

    def fetch(self) -> None:
        """Asks for the whole list, once."""
        self.cache, self._etags = RegistryCache(), {}
        task = asyncio.get_running_loop().create_task(self.poll())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        self.watch(False)
        for task in self.tasks:
            task.cancel()
        self.driver.close()
        if self.session is not None:
            await self.session.close()

    # Polls

    async def run(self) -> None:
        while True:
            if await self.poll():
                pause = self.registry.poll_interval
            else:  # the next registry soon, but a round of all of them ever more seldom
                rounds = self.fails // len(self.registry.urls)
                pause = min(BACKOFF_MOST, min(1.0, self.registry.poll_interval) * 2.0 ** min(rounds, 10))
            await asyncio.sleep(pause * self.rng.uniform(0.9, 1.1))  # or all gateways would ask at once

    async def poll(self) -> bool:
        """One look. Never raises but for being cancelled."""
        try:
            await self.look()
        except Exception as err:  # whatever it is, the watch must outlive it
            self.fails += 1
            told = (
                str(err)
                if isinstance(err, UnusableResponseError | MalformedResponseError)
                else f"{type(err).__name__} {err}"
            )
            log.warning("registry %s: %s; the last list stays", self.url, told[:200])
            self.at = (self.at + 1) % len(self.registry.urls)
            self.cache, self._etags = RegistryCache(), {}  # the next one has a list and deltas of its own
            self.failed()
            return False
        self.fails = 0
        return True

    @property
    def url(self) -> str:
        return self.registry.urls[self.at].rstrip("/")

    async def look(self) -> None:
        if self.registry.lookup == "apps" and self.registry.delta and self.cache.is_filled:
            answer = await self.get("apps/delta")
            if answer is not None:
                deleted, whole = self.cache.apply_delta(self.clock(), answer.instances, answer.hashcode)
                if not whole:
                    await self.hear(answer, deleted, False)
                    return
                log.info(
                    "registry %s: its hash is %s, ours %s; asking for the whole list",
                    self.url,
                    answer.hashcode[:80],
                    self.cache.hashcode()[:80],
                )
                await self.hear(answer, deleted, False)  # drains among it count at once
        path = PATHS[self.registry.lookup].format(self.registry.name)
        answer = await self.get(path)
        if answer is None:  # nothing changed: it names again what it named
            self.cache.on_not_modified(self.clock())
            answer = RegistryResponse(tuple(self.cache.instances.values()), "")
        else:
            self.cache.replace_all(self.clock(), answer.instances, answer.hashcode)
        await self.hear(answer, set(), True)

    async def get(self, path: str) -> RegistryResponse | None:
        """None: not changed, or the registry knows no deltas. Raises Unusable, Odd or what aiohttp does."""
        if self.session is None:
            self.session = aiohttp.ClientSession(trust_env=False)
        headers = {"Accept": ACCEPT[self.registry.form]}
        if path in self._etags:
            headers["If-None-Match"] = self._etags[path]
        if self.registry.user:
            headers["Authorization"] = aiohttp.encode_basic_auth(self.registry.user, self.registry.password)
        timeout = aiohttp.ClientTimeout(total=self.registry.timeout)
        async with self.session.get(
            f"{self.url}/{path}", headers=headers, timeout=timeout, allow_redirects=False
        ) as answer:
            if answer.status == 304 and path in self._etags:
                return None
            if answer.status == 404 and path == "apps/delta":
                return None
            if answer.status == 404 and self.registry.lookup != "apps":
                return RegistryResponse(
                    (), ""
                )  # the registry's way to say that an app or vip has no instance
            if answer.status != 200:
                raise UnusableResponseError(f"status {answer.status} for {path}")
            body = bytearray()
            async for chunk in answer.content.iter_any():
                body += chunk
                if len(body) > self.registry.max_response_bytes:
                    raise UnusableResponseError(
                        f"an answer of more than {self.registry.max_response_bytes} bytes for {path}"
                    )
            read = read_xml if "xml" in answer.content_type else read_json
            # A long list must not hold up the loop that serves: the interpreter then gives it turns.
            made = await asyncio.to_thread(read, bytes(body)) if len(body) > LONG else read(bytes(body))
            if (tag := answer.headers.get("ETag")) and path != "apps/delta":
                self._etags[path] = tag
        return made

    # What is believed

    async def hear(self, answer: RegistryResponse, deleted: set[str], whole: bool) -> None:
        wanted = [i for i in answer.instances if i.action != "DELETED" and self.wanted(i)]
        if self.registry.mapping.address == "name":
            await self.look_up(wanted)
        if len(wanted) > MANY:
            entries, odd = await asyncio.to_thread(read_endpoints, self.registry.mapping, wanted, self.names)
        else:
            entries, odd = read_endpoints(self.registry.mapping, wanted, self.names)
        odd = [*answer.malformed, *odd]
        if odd and tuple(odd) != self.malformed:
            more = f" and {len(odd) - MOST_ODD} more" if len(odd) > MOST_ODD else ""
            log.warning("registry %s: left out %s%s", self.url, "; ".join(odd[:MOST_ODD]), more)
        self.malformed = tuple(odd)
        entries = [entry for entry in entries if entry.address not in self.own]
        gone = deleted | {e.endpoint.id for e in entries if e.endpoint.state == "down"}
        entries = [entry for entry in entries if entry.endpoint.state != "down"]
        self.driver.apply(entries, gone, whole)

    def wanted(self, instance: EurekaInstance) -> bool:
        name = self.registry.name.upper()
        return self.registry.lookup != "apps" or not name or instance.app == name

    async def look_up(self, instances: list[EurekaInstance]) -> None:
        """One look at a name; one that fails keeps its last address."""
        for name in {i.host_name for i in instances} - {""}:
            if self.resolve is None:
                return
            try:
                self.names[name] = await self.resolve(name)
            except OSError as err:
                log.warning("registry %s: %s cannot be looked up (%s)", self.url, name[:80], err)


async def resolve(name: str) -> str:
    """By the system's resolver. Raises OSError."""
    found = await asyncio.get_running_loop().getaddrinfo(name, None, type=1)
    return str(found[0][4][0])

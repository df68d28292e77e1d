"""A Eureka registry as a source of the endpoint list: polls, fail-over, bounds.

The reconciler says what of the list is accepted.
"""

from __future__ import annotations

import asyncio
import logging
import random
import socket
import time
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Literal

import aiohttp

from apigateway.membership.eureka.mapping import InstanceMapping, read_endpoints
from apigateway.membership.eureka.model import (
    DeltaAction,
    EurekaInstance,
    MalformedResponseError,
    RegistryResponse,
)
from apigateway.membership.eureka.parser import read_json, read_xml
from apigateway.membership.eureka.registry_cache import RegistryCache
from apigateway.membership.listing import EndpointListing
from apigateway.membership.reconciler import EndpointReconciler, ReconcilerSettings, ReportedEndpoint
from apigateway.membership.reconciler_driver import ReconcilerDriver
from apigateway.messages import EndpointStatus
from apigateway.upstream.address import Address

MAX_BACKOFF_S = 30.0  # between polls while no registry answers
FIRST_BACKOFF_S = 1.0  # or the poll interval, where that is shorter
MAX_DOUBLINGS = 10  # of the backoff: past its limit, and the power stays small
POLL_JITTER = 0.1  # part of a pause, either way: or all gateways would poll in step
THREAD_BODY_BYTES = 64 * 1024  # a longer body is parsed in a thread: it must not hold up the serving loop
THREAD_INSTANCES = 100  # more instances are mapped in a thread, likewise
MAX_LOGGED_REASON = 200  # characters of why a poll failed
MAX_LOGGED_VALUE = 80  # characters of a hash or a name that the registry gave
MAX_LOGGED_MALFORMED = 3  # instances of one response that cannot be read, that are named in the log

_PATH_BY_LOOKUP = {"apps": "apps", "app": "apps/{}", "vip": "vips/{}", "svip": "svips/{}"}
_ACCEPT_BY_FORMAT = {"json": "application/json", "xml": "application/xml"}
_DELTA_PATH = "apps/delta"

log = logging.getLogger(__name__)

Resolve = Callable[[str], Awaitable[str]]
"""Resolves a host name to an IP address; raises OSError."""

Lookup = Literal["apps", "app", "vip", "svip"]
"""Which instances are requested: all, or those of one application, VIP or secure VIP address."""

ResponseFormat = Literal["json", "xml"]


class UnusableResponseError(Exception):
    """A response that cannot be used."""


@dataclass(frozen=True, slots=True)
class RegistrySettings:
    """How a registry is polled.

    `urls` are base paths, as `http://host:8761/eureka/v2`, tried in this order.
    """

    urls: tuple[str, ...]
    lookup: Lookup = "apps"
    name: str = ""  # of the app or vip; with `apps`, only this app's instances where it is set
    response_format: ResponseFormat = "json"
    poll_interval: float = 5.0  # s
    timeout: float = 2.0  # s
    max_response_bytes: int = 32 * 1024 * 1024  # unpacked
    user: str = ""
    password: str = field(default="", repr=False)
    use_deltas: bool = True  # whether deltas are requested
    mapping: InstanceMapping = field(default_factory=InstanceMapping)
    reconciler: ReconcilerSettings = field(default_factory=ReconcilerSettings)


class EurekaSource:
    """Keep the endpoint list up to date from a registry, in the shape of `core.interfaces.EndpointSource`.

    Args:
        registry: the settings.
        known: the last list.
        on_change: called with each change of what is accepted, as a delta.
        on_failure: called after each poll that failed.
        own_addresses: never listed: a gateway must not route to itself.
        resolve: resolves a host name to an IP address, where addresses are taken from names.
        clock: the time, in seconds.
        seed: of the jitter.
        reconciler: one to go on with, with its doubts and its age.
    """

    def __init__(
        self,
        registry: RegistrySettings,
        known: EndpointListing,
        on_change: Callable[[EndpointListing], None],
        on_failure: Callable[[], None],
        own_addresses: Collection[Address] = (),
        resolve: Resolve | None = None,
        clock: Callable[[], float] = time.time,
        seed: int | None = None,
        reconciler: EndpointReconciler | None = None,
    ) -> None:
        self.registry = registry
        self.driver = ReconcilerDriver(registry.reconciler, known, on_change, clock, reconciler)
        self.reconciler = self.driver.reconciler
        self.cache = RegistryCache()
        self.etags: dict[str, str] = {}  # by path
        self.malformed: tuple[str, ...] = ()  # what could not be read of the last response
        self.session: aiohttp.ClientSession | None = None
        self._on_failure = on_failure
        self._own_addresses = set(own_addresses)
        self._resolve = resolve
        self._clock = clock
        self._rng = random.Random(seed)
        self._url_index = 0  # of the registry that is polled
        self._failures = 0  # polls in a row
        self._addresses_by_name: dict[str, str] = {}  # of resolved host names
        self._watch_task: asyncio.Task[None] | None = None
        self._fetch_tasks: set[asyncio.Task[bool]] = set()

    @property
    def version(self) -> int:
        """The version of the accepted list."""
        return self.reconciler.version

    @property
    def watching(self) -> bool:
        """Whether the registry is polled."""
        return self._watch_task is not None

    @property
    def url(self) -> str:
        """The base path of the registry that is polled."""
        return self.registry.urls[self._url_index].rstrip("/")

    def watch(self, on: bool) -> None:
        """Start or stop polling."""
        if on and self._watch_task is None:
            self._watch_task = asyncio.get_running_loop().create_task(self._run())
        elif not on and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    def fetch(self) -> None:
        """Request the complete list, once."""
        self._forget_registry_state()
        task = asyncio.get_running_loop().create_task(self.poll())
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    async def close(self) -> None:
        """End all calls and the reconciler's timer."""
        self.watch(False)
        for task in self._fetch_tasks:
            task.cancel()
        self.driver.close()
        if self.session is not None:
            await self.session.close()

    async def poll(self) -> bool:
        """Poll once; return whether the registry answered. Raises nothing but for being cancelled."""
        try:
            await self._update()
        except Exception as err:  # whatever it is, the watch must outlive it
            self._on_poll_failed(err)
            return False
        self._failures = 0
        return True

    # Polls

    async def _run(self) -> None:
        while True:
            pause = self.registry.poll_interval if await self.poll() else self._backoff()
            await asyncio.sleep(pause * self._rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER))

    def _backoff(self) -> float:
        """Return the pause after a failure, in seconds: it doubles with each round of all registries."""
        rounds = self._failures // len(self.registry.urls)
        first = min(FIRST_BACKOFF_S, self.registry.poll_interval)
        return min(MAX_BACKOFF_S, first * 2.0 ** min(rounds, MAX_DOUBLINGS))

    def _on_poll_failed(self, err: Exception) -> None:
        self._failures += 1
        is_own_error = isinstance(err, UnusableResponseError | MalformedResponseError)
        reason = str(err) if is_own_error else f"{type(err).__name__} {err}"
        log.warning("registry %s: %s; the last list stays", self.url, reason[:MAX_LOGGED_REASON])
        self._url_index = (self._url_index + 1) % len(self.registry.urls)
        self._forget_registry_state()  # the next one has a list and deltas of its own
        self._on_failure()

    def _forget_registry_state(self) -> None:
        self.cache = RegistryCache()
        self.etags = {}

    async def _update(self) -> None:
        """Request a delta, or the complete list where that is due. Raises whatever goes wrong."""
        if self.registry.lookup == "apps" and self.registry.use_deltas and self.cache.is_filled:
            delta = await self._request(_DELTA_PATH)
            if delta is not None and not await self._apply_delta(delta):
                return
        path = _PATH_BY_LOOKUP[self.registry.lookup].format(self.registry.name)
        response = await self._request(path)
        if response is None:  # not modified: it names again what it named
            self.cache.on_not_modified(self._clock())
            response = RegistryResponse(tuple(self.cache.instances.values()), "")
        else:
            self.cache.replace_all(self._clock(), response.instances, response.hashcode)
        await self._apply(response, set(), True)

    async def _apply_delta(self, delta: RegistryResponse) -> bool:
        """Apply a delta; return whether a complete list is to be requested."""
        result = self.cache.apply_delta(self._clock(), delta.instances, delta.hashcode)
        if result.needs_complete_list:
            log.info(
                "registry %s: its hash is %s, ours %s; asking for the whole list",
                self.url,
                delta.hashcode[:MAX_LOGGED_VALUE],
                self.cache.hashcode()[:MAX_LOGGED_VALUE],
            )
        # also where a complete list follows: drains among it count at once
        await self._apply(delta, result.deleted_ids, False)
        return result.needs_complete_list

    # Requests

    async def _request(self, path: str) -> RegistryResponse | None:
        """Request a list.

        Returns:
            None where it is not modified, or the registry knows no deltas.

        Raises:
            UnusableResponseError, MalformedResponseError, or what aiohttp raises.
        """
        if self.session is None:
            self.session = aiohttp.ClientSession(trust_env=False)
        timeout = aiohttp.ClientTimeout(total=self.registry.timeout)
        async with self.session.get(
            f"{self.url}/{path}", headers=self._request_headers(path), timeout=timeout, allow_redirects=False
        ) as response:
            if response.status == HTTPStatus.NOT_MODIFIED and path in self.etags:
                return None
            if response.status == HTTPStatus.NOT_FOUND and path == _DELTA_PATH:
                return None
            if response.status == HTTPStatus.NOT_FOUND and self.registry.lookup != "apps":
                # the registry's way to say that an app or vip has no instance
                return RegistryResponse((), "")
            if response.status != HTTPStatus.OK:
                raise UnusableResponseError(f"status {response.status} for {path}")
            body = await self._read_body(response, path)
            parse = read_xml if "xml" in response.content_type else read_json
            if len(body) > THREAD_BODY_BYTES:
                parsed = await asyncio.to_thread(parse, body)
            else:
                parsed = parse(body)
            if (etag := response.headers.get("ETag")) and path != _DELTA_PATH:
                self.etags[path] = etag
        return parsed

    def _request_headers(self, path: str) -> dict[str, str]:
        headers = {"Accept": _ACCEPT_BY_FORMAT[self.registry.response_format]}
        if path in self.etags:
            headers["If-None-Match"] = self.etags[path]
        if self.registry.user:
            headers["Authorization"] = aiohttp.encode_basic_auth(self.registry.user, self.registry.password)
        return headers

    async def _read_body(self, response: aiohttp.ClientResponse, path: str) -> bytes:
        max_bytes = self.registry.max_response_bytes
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > max_bytes:
                raise UnusableResponseError(f"an answer of more than {max_bytes} bytes for {path}")
        return bytes(body)

    # Reports to the reconciler

    async def _apply(self, response: RegistryResponse, deleted_ids: set[str], is_complete: bool) -> None:
        instances = [
            instance
            for instance in response.instances
            if instance.action != DeltaAction.DELETED and self._is_wanted(instance)
        ]
        if self.registry.mapping.address_source == "name":
            await self._resolve_names(instances)
        endpoints, malformed = await self._read_endpoints(instances)
        self._record_malformed((*response.malformed, *malformed))
        others = [one for one in endpoints if one.address not in self._own_addresses]
        removed_ids = {one.endpoint.id for one in others if one.endpoint.state == EndpointStatus.DOWN}
        reported = [one for one in others if one.endpoint.state != EndpointStatus.DOWN]
        self.driver.apply(reported, deleted_ids | removed_ids, is_complete)

    async def _read_endpoints(
        self, instances: list[EurekaInstance]
    ) -> tuple[list[ReportedEndpoint], list[str]]:
        mapping = self.registry.mapping
        if len(instances) > THREAD_INSTANCES:
            return await asyncio.to_thread(read_endpoints, mapping, instances, self._addresses_by_name)
        return read_endpoints(mapping, instances, self._addresses_by_name)

    def _record_malformed(self, malformed: tuple[str, ...]) -> None:
        """Keep what could not be read, and log it where it is new."""
        if malformed and malformed != self.malformed:
            hidden = len(malformed) - MAX_LOGGED_MALFORMED
            more = f" and {hidden} more" if hidden > 0 else ""
            shown = "; ".join(malformed[:MAX_LOGGED_MALFORMED])
            log.warning("registry %s: left out %s%s", self.url, shown, more)
        self.malformed = malformed

    def _is_wanted(self, instance: EurekaInstance) -> bool:
        name = self.registry.name.upper()
        return self.registry.lookup != "apps" or not name or instance.app == name

    async def _resolve_names(self, instances: list[EurekaInstance]) -> None:
        """Resolve each host name once; one that fails keeps its last address."""
        if self._resolve is None:
            return
        for name in {instance.host_name for instance in instances} - {""}:
            try:
                self._addresses_by_name[name] = await self._resolve(name)
            except OSError as err:
                log.warning(
                    "registry %s: %s cannot be looked up (%s)", self.url, name[:MAX_LOGGED_VALUE], err
                )


async def resolve_host_name(name: str) -> str:
    """Resolve a host name by the system's resolver. Raises OSError."""
    results = await asyncio.get_running_loop().getaddrinfo(name, None, type=socket.SOCK_STREAM)
    _, _, _, _, socket_address = results[0]
    return str(socket_address[0])

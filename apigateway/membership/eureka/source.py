"""A Eureka registry as a source of the endpoint list: polling, failover and limits on responses.

The reconciler decides which reports to accept.
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

from apigateway.event_loop import timeout_after_poll
from apigateway.membership.eureka.mapping import InstanceMapping, convert_instances
from apigateway.membership.eureka.model import (
    DeltaAction,
    EurekaInstance,
    MalformedResponseError,
    RegistryResponse,
)
from apigateway.membership.eureka.parser import parse_json, parse_xml
from apigateway.membership.eureka.registry_cache import RegistryCache
from apigateway.membership.listing import EndpointListing
from apigateway.membership.reconciler import EndpointReconciler, ReconcilerSettings, ReportedEndpoint
from apigateway.membership.reconciler_driver import ReconcilerDriver
from apigateway.messages import EndpointStatus
from apigateway.upstream.address import Address

MAX_BACKOFF_S = 30.0  # between polls while no registry answers
FIRST_BACKOFF_S = 1.0  # the poll interval is used if it is shorter
MAX_DOUBLINGS = 10  # enough to reach MAX_BACKOFF_S; keeps the power of two small
POLL_JITTER_RATIO = 0.1  # of a pause, up or down, so that gateways do not poll at the same time
MAX_INLINE_BODY_BYTES = 64 * 1024  # longer bodies are parsed in a thread to keep the event loop free
MAX_INLINE_INSTANCES = 100  # larger numbers of instances are converted in a thread
MAX_LOGGED_REASON_CHARACTERS = 200
MAX_LOGGED_VALUE_CHARACTERS = 80  # of a hash or name from the registry
MAX_LOGGED_MALFORMED_INSTANCES = 3  # of one response

_PATH_BY_LOOKUP = {"apps": "apps", "app": "apps/{}", "vip": "vips/{}", "svip": "svips/{}"}
_ACCEPT_BY_FORMAT = {"json": "application/json", "xml": "application/xml"}
_DELTA_PATH = "apps/delta"

log = logging.getLogger(__name__)

Resolver = Callable[[str], Awaitable[str]]
"""Resolves a host name to an IP address; raises OSError."""

Lookup = Literal["apps", "app", "vip", "svip"]
"""Which instances to request: all, or those of one application, VIP or secure VIP address."""

ResponseFormat = Literal["json", "xml"]


class UnusableResponseError(Exception):
    """A response cannot be used, because of its status or size."""


@dataclass(frozen=True, slots=True)
class RegistrySettings:
    """How to poll a registry.

    `urls` are base URLs such as `http://host:8761/eureka/v2`, tried in this order.
    """

    urls: tuple[str, ...]
    lookup: Lookup = "apps"
    name: str = ""  # of the app or VIP; with `apps`, only this app's instances are used if it is set
    response_format: ResponseFormat = "json"
    poll_interval: float = 5.0  # s
    timeout: float = 2.0  # s
    max_response_bytes: int = 32 * 1024 * 1024  # uncompressed
    user: str = ""
    password: str = field(default="", repr=False)
    use_deltas: bool = True
    mapping: InstanceMapping = field(default_factory=InstanceMapping)
    reconciler: ReconcilerSettings = field(default_factory=ReconcilerSettings)


class EurekaSource:
    """Keeps the endpoint list up to date from a registry; implements `core.interfaces.EndpointSource`.

    Args:
        settings: the registry's settings.
        known: the last known list.
        on_change: called with each change of the accepted list, as a delta.
        on_failure: called after each poll that failed.
        own_addresses: addresses of this gateway; excluded so that it does not route to itself.
        resolve: resolves a host name to an IP address; needed if addresses are taken from host names.
        clock: returns the time in seconds.
        seed: seed of the jitter.
        reconciler: the reconciler of an earlier source, to continue with its doubts and its age.
    """

    def __init__(
        self,
        settings: RegistrySettings,
        known: EndpointListing,
        on_change: Callable[[EndpointListing], None],
        on_failure: Callable[[], None],
        own_addresses: Collection[Address] = (),
        resolve: Resolver | None = None,
        clock: Callable[[], float] = time.time,
        seed: int | None = None,
        reconciler: EndpointReconciler | None = None,
    ) -> None:
        self.settings = settings
        self.driver = ReconcilerDriver(settings.reconciler, known, on_change, clock, reconciler)
        self.reconciler = self.driver.reconciler
        self.cache = RegistryCache()
        self.etags: dict[str, str] = {}  # by path
        self.malformed: tuple[str, ...] = ()  # descriptions of the unreadable entries of the last response
        self.session: aiohttp.ClientSession | None = None
        self._on_failure = on_failure
        self._own_addresses = set(own_addresses)
        self._resolve = resolve
        self._clock = clock
        self._rng = random.Random(seed)
        self._url_index = 0  # index of the polled registry in `settings.urls`
        self._consecutive_failures = 0
        self._addresses_by_name: dict[str, str] = {}  # IP addresses by host name
        self._watch_task: asyncio.Task[None] | None = None
        self._fetch_tasks: set[asyncio.Task[bool]] = set()

    @property
    def version(self) -> int:
        """The version of the accepted list."""
        return self.reconciler.version

    @property
    def watching(self) -> bool:
        """Whether the registry is being polled."""
        return self._watch_task is not None

    @property
    def url(self) -> str:
        """The base URL of the registry that is polled."""
        return self.settings.urls[self._url_index].rstrip("/")

    def watch(self, is_on: bool) -> None:
        """Start or stop polling."""
        if is_on and self._watch_task is None:
            self._watch_task = asyncio.get_running_loop().create_task(self._run())
        elif not is_on and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    def fetch(self) -> None:
        """Request the complete list once."""
        self._reset_registry_state()
        task = asyncio.get_running_loop().create_task(self.poll())
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    async def close(self) -> None:
        """Cancel all calls and the reconciler's timer."""
        self.watch(False)
        for task in self._fetch_tasks:
            task.cancel()
        self.driver.close()
        if self.session is not None:
            await self.session.close()

    async def poll(self) -> bool:
        """Poll once; return whether the poll succeeded. Raises only CancelledError."""
        try:
            await self._update()
        except Exception as err:  # no error may end the polling
            self._on_poll_failed(err)
            return False
        self._consecutive_failures = 0
        return True

    # Polls

    async def _run(self) -> None:
        while True:
            pause = self.settings.poll_interval if await self.poll() else self._next_backoff()
            await asyncio.sleep(pause * self._rng.uniform(1 - POLL_JITTER_RATIO, 1 + POLL_JITTER_RATIO))

    def _next_backoff(self) -> float:
        """Return the pause after a failure in seconds; it doubles once all registries have failed."""
        rounds = self._consecutive_failures // len(self.settings.urls)
        first_pause = min(FIRST_BACKOFF_S, self.settings.poll_interval)
        return min(MAX_BACKOFF_S, first_pause * 2.0 ** min(rounds, MAX_DOUBLINGS))

    def _on_poll_failed(self, err: Exception) -> None:
        self._consecutive_failures += 1
        is_response_error = isinstance(err, UnusableResponseError | MalformedResponseError)
        reason = str(err) if is_response_error else f"{type(err).__name__} {err}"
        log.warning("registry %s: %s; keeping the last list", self.url, reason[:MAX_LOGGED_REASON_CHARACTERS])
        self._url_index = (self._url_index + 1) % len(self.settings.urls)
        self._reset_registry_state()  # the next registry has its own list and deltas
        self._on_failure()

    def _reset_registry_state(self) -> None:
        self.cache = RegistryCache()
        self.etags = {}

    async def _update(self) -> None:
        """Request a delta, or the complete list if that is due. Raises any exception of the request."""
        if self.settings.lookup == "apps" and self.settings.use_deltas and self.cache.has_complete_list:
            delta = await self._request(_DELTA_PATH)
            if delta is not None and not await self._apply_delta(delta):
                return
        path = _PATH_BY_LOOKUP[self.settings.lookup].format(self.settings.name)
        response = await self._request(path)
        if response is None:  # not modified: the cached list is reported again
            self.cache.on_not_modified(self._clock())
            response = RegistryResponse(tuple(self.cache.instances.values()), "")
        else:
            self.cache.replace_all(self._clock(), response.instances, response.hashcode)
        await self._apply(response, set(), True)

    async def _apply_delta(self, delta: RegistryResponse) -> bool:
        """Apply a delta; return whether a complete list must be requested."""
        result = self.cache.apply_delta(self._clock(), delta.instances, delta.hashcode)
        if result.needs_complete_list:
            log.info(
                "registry %s: hash mismatch: registry %s, cache %s; requesting the complete list",
                self.url,
                delta.hashcode[:MAX_LOGGED_VALUE_CHARACTERS],
                self.cache.hashcode()[:MAX_LOGGED_VALUE_CHARACTERS],
            )
        # Also if a complete list follows, so that drains in the delta take effect at once.
        await self._apply(delta, result.deleted_ids, False)
        return result.needs_complete_list

    # Requests

    async def _request(self, path: str) -> RegistryResponse | None:
        """Request a list.

        Returns:
            The response; None if the list is not modified or the registry does not support deltas.

        Raises:
            UnusableResponseError, MalformedResponseError: the response cannot be used.
            aiohttp.ClientError, TimeoutError: the call failed.
        """
        if self.session is None:
            self.session = aiohttp.ClientSession(trust_env=False)
        async with (
            timeout_after_poll(self.settings.timeout),
            self.session.get(
                f"{self.url}/{path}",
                headers=self._build_request_headers(path),
                timeout=aiohttp.ClientTimeout(),  # limited by `timeout_after_poll`
                allow_redirects=False,
            ) as response,
        ):
            if response.status == HTTPStatus.NOT_MODIFIED and path in self.etags:
                return None
            if response.status == HTTPStatus.NOT_FOUND and path == _DELTA_PATH:
                return None
            if response.status == HTTPStatus.NOT_FOUND and self.settings.lookup != "apps":
                # The registry answers so if an app or VIP has no instance.
                return RegistryResponse((), "")
            if response.status != HTTPStatus.OK:
                raise UnusableResponseError(f"status {response.status} for {path}")
            body = await self._read_body(response, path)
            parse = parse_xml if "xml" in response.content_type else parse_json
            if len(body) > MAX_INLINE_BODY_BYTES:
                parsed = await asyncio.to_thread(parse, body)
            else:
                parsed = parse(body)
            if (etag := response.headers.get("ETag")) and path != _DELTA_PATH:
                self.etags[path] = etag
        return parsed

    def _build_request_headers(self, path: str) -> dict[str, str]:
        headers = {"Accept": _ACCEPT_BY_FORMAT[self.settings.response_format]}
        if path in self.etags:
            headers["If-None-Match"] = self.etags[path]
        if self.settings.user:
            headers["Authorization"] = aiohttp.encode_basic_auth(self.settings.user, self.settings.password)
        return headers

    async def _read_body(self, response: aiohttp.ClientResponse, path: str) -> bytes:
        max_bytes = self.settings.max_response_bytes
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > max_bytes:
                raise UnusableResponseError(f"response of more than {max_bytes} bytes for {path}")
        return bytes(body)

    # Reports to the reconciler

    async def _apply(self, response: RegistryResponse, deleted_ids: set[str], is_complete: bool) -> None:
        instances = [
            instance
            for instance in response.instances
            if instance.action != DeltaAction.DELETED and self._is_selected(instance)
        ]
        if self.settings.mapping.address_source == "name":
            await self._resolve_names(instances)
        endpoints, malformed = await self._convert_instances(instances)
        self._record_malformed((*response.malformed, *malformed))
        external = [report for report in endpoints if report.address not in self._own_addresses]
        removed_ids = {
            report.endpoint.id for report in external if report.endpoint.state == EndpointStatus.DOWN
        }
        reported = [report for report in external if report.endpoint.state != EndpointStatus.DOWN]
        self.driver.apply(reported, deleted_ids | removed_ids, is_complete)

    async def _convert_instances(
        self, instances: list[EurekaInstance]
    ) -> tuple[list[ReportedEndpoint], list[str]]:
        mapping = self.settings.mapping
        if len(instances) > MAX_INLINE_INSTANCES:
            return await asyncio.to_thread(convert_instances, mapping, instances, self._addresses_by_name)
        return convert_instances(mapping, instances, self._addresses_by_name)

    def _record_malformed(self, malformed: tuple[str, ...]) -> None:
        """Record which entries could not be read, and log them if they have changed."""
        if malformed and malformed != self.malformed:
            omitted_count = len(malformed) - MAX_LOGGED_MALFORMED_INSTANCES
            more = f" and {omitted_count} more" if omitted_count > 0 else ""
            shown = "; ".join(malformed[:MAX_LOGGED_MALFORMED_INSTANCES])
            log.warning("registry %s: skipped %s%s", self.url, shown, more)
        self.malformed = malformed

    def _is_selected(self, instance: EurekaInstance) -> bool:
        name = self.settings.name.upper()
        return self.settings.lookup != "apps" or not name or instance.app == name

    async def _resolve_names(self, instances: list[EurekaInstance]) -> None:
        """Resolve the host names of a response; a name that cannot be resolved keeps its last address."""
        if self._resolve is None:
            return
        for name in {instance.host_name for instance in instances} - {""}:
            try:
                self._addresses_by_name[name] = await self._resolve(name)
            except OSError as err:
                log.warning(
                    "registry %s: cannot resolve %s (%s)", self.url, name[:MAX_LOGGED_VALUE_CHARACTERS], err
                )


async def resolve_host_name(name: str) -> str:
    """Resolve a host name with the system resolver. Raises OSError."""
    results = await asyncio.get_running_loop().getaddrinfo(name, None, type=socket.SOCK_STREAM)
    _, _, _, _, socket_address = results[0]
    return str(socket_address[0])

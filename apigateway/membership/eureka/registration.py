"""This gateway as an instance of the registry: registered, renewed by heartbeats, deregistered."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import aiohttp

from apigateway.membership.eureka.model import InstanceStatus

FINAL_CALL_TIMEOUT_S = 1.0  # of each of the last two calls: a registry that is away must not hold up a stop
MAX_RETRY_PAUSE_S = 1.0  # after a failure; the renewal interval, where that is shorter
_UNUSED_SECURE_PORT = 443  # the registry wants one, also where it is not enabled
_COUNTRY_ID = 1  # the registry wants one and nobody reads it; Netflix's clients send 1

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RegistrationSettings:
    """What is registered of this gateway. Times in seconds."""

    app: str
    id: str
    host_name: str
    ip: str
    port: int
    vip: str = ""
    renewal_interval: float = 10.0
    lease_duration: float = 30.0
    metadata: Mapping[str, str] = field(default_factory=dict)

    def to_instance(self, status: InstanceStatus) -> dict[str, Any]:
        """Return the body of a registration."""
        now_ms = int(time.time() * 1000)
        return {
            "instance": {
                "instanceId": self.id,
                "hostName": self.host_name,
                "app": self.app.upper(),
                "ipAddr": self.ip,
                "vipAddress": self.vip or self.app.lower(),
                "secureVipAddress": self.vip or self.app.lower(),
                "status": status.value,
                "overriddenstatus": "UNKNOWN",
                "port": {"$": self.port, "@enabled": "true"},
                "securePort": {"$": _UNUSED_SECURE_PORT, "@enabled": "false"},
                "countryId": _COUNTRY_ID,
                "metadata": dict(self.metadata),
                "dataCenterInfo": {
                    "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
                    "name": "MyOwn",
                },
                "leaseInfo": {
                    "renewalIntervalInSecs": max(1, round(self.renewal_interval)),
                    "durationInSecs": max(1, round(self.lease_duration)),
                },
                "lastUpdatedTimestamp": str(now_ms),
                "lastDirtyTimestamp": str(now_ms),
            }
        }


class Registration:
    """Keep this gateway registered.

    `start` registers it as STARTING, `mark_up` once it can serve, `mark_down` before the listeners close,
    `deregister` at the end. A registry that is away delays none of it.
    """

    def __init__(
        self,
        urls: tuple[str, ...],
        settings: RegistrationSettings,
        user: str = "",
        password: str = "",
        timeout: float = 2.0,
    ) -> None:
        self._urls = urls
        self._settings = settings
        self._timeout = timeout
        self._headers = {"Authorization": aiohttp.encode_basic_auth(user, password)} if user else {}
        self._status = InstanceStatus.STARTING
        self._url_index = 0
        self._is_registered = False  # the registry lists this gateway with `_status`
        self._status_changed = asyncio.Event()
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Register as STARTING, and renew from now on."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def mark_up(self) -> None:
        """Report that this gateway serves."""
        self._status = InstanceStatus.UP
        self._is_registered = False
        self._status_changed.set()

    async def mark_down(self) -> None:
        """Report that clients are to stop sending, before the listeners close."""
        body = self._settings.to_instance(InstanceStatus.DOWN)
        await self._make_final_call("POST", self._app_path(), body)

    async def deregister(self) -> None:
        """Delete the registration."""
        await self._make_final_call("DELETE", self._instance_path())
        await self.close()

    async def close(self) -> None:
        """Make no more calls: another process holds the registration, or it is over."""
        await self._stop_renewing()
        if self._session is not None:
            await self._session.close()

    def _app_path(self) -> str:
        return f"apps/{self._settings.app.upper()}"

    def _instance_path(self) -> str:
        return f"{self._app_path()}/{self._settings.id}"

    async def _run(self) -> None:
        """Register and renew until cancelled, whatever the registry does."""
        while True:
            self._status_changed.clear()
            try:
                await self._renew_or_register()
                pause = self._settings.renewal_interval
            except Exception as err:  # whatever it is, the lease must be renewed once the registry is back
                log.warning(
                    "registry %s: not told of this gateway: %s %s",
                    self._urls[self._url_index],
                    type(err).__name__,
                    err,
                )
                self._url_index = (self._url_index + 1) % len(self._urls)
                pause = min(MAX_RETRY_PAUSE_S, self._settings.renewal_interval)
            await self._wait_for_status_change(pause)

    async def _wait_for_status_change(self, timeout: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._status_changed.wait()

    async def _renew_or_register(self) -> None:
        """Renew the lease; register where the registry does not list this gateway, or not as it is now."""
        if self._is_registered and await self._call("PUT", self._instance_path()) == HTTPStatus.NOT_FOUND:
            log.info(
                "registry %s: it has forgotten this gateway; registering anew", self._urls[self._url_index]
            )
            self._is_registered = False
        if not self._is_registered:
            status = self._status
            response_status = await self._call("POST", self._app_path(), self._settings.to_instance(status))
            if response_status not in (HTTPStatus.OK, HTTPStatus.NO_CONTENT):
                raise OSError(f"status {response_status} for a registration")
            self._is_registered = status == self._status  # it may have changed during the call

    async def _call(self, method: str, path: str, body: object = None, timeout: float | None = None) -> int:
        """Call the registry; return the status of its response. Raises what aiohttp does."""
        if self._session is None:
            self._session = aiohttp.ClientSession(trust_env=False)
        async with self._session.request(
            method,
            f"{self._urls[self._url_index].rstrip('/')}/{path}",
            json=body,
            headers=self._headers,
            timeout=aiohttp.ClientTimeout(total=timeout or self._timeout),
            allow_redirects=False,
        ) as response:
            return response.status

    async def _stop_renewing(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _make_final_call(self, method: str, path: str, body: object = None) -> None:
        """Stop renewing and make one short call; a failure is only logged."""
        await self._stop_renewing()
        try:
            await self._call(method, path, body, FINAL_CALL_TIMEOUT_S)
        except Exception as err:
            log.warning(
                "registry %s: not told of the end: %s %s",
                self._urls[self._url_index],
                type(err).__name__,
                err,
            )

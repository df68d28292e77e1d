"""Registration of this gateway with a Eureka registry: register, renew by heartbeats, deregister."""

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

from apigateway.event_loop import timeout_after_poll
from apigateway.membership.eureka.model import InstanceStatus

FINAL_CALL_TIMEOUT_S = 1.0  # for each of the last two calls; an unreachable registry must not delay a stop
MAX_RETRY_PAUSE_S = 1.0  # after a failure; the renewal interval is used if it is shorter
_UNUSED_SECURE_PORT = 443  # the registry requires a port even if it is not enabled
_COUNTRY_ID = 1  # the registry requires a value but does not use it; Netflix's clients send 1

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RegistrationSettings:
    """The data that this gateway registers. Times are in seconds."""

    app: str
    id: str
    host_name: str
    ip: str
    port: int
    vip: str = ""
    renewal_interval: float = 10.0
    lease_duration: float = 30.0
    metadata: Mapping[str, str] = field(default_factory=dict)

    def to_request_body(self, status: InstanceStatus) -> dict[str, Any]:
        """Return the body of a registration request."""
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
    """Keeps this gateway registered.

    `start` registers it as STARTING. Call `mark_up` once it can serve, `mark_down` before its listeners close
    and `deregister` at the end. An unreachable registry delays none of these steps.
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
        self._is_registered = False  # whether the registry lists this gateway with `_status`
        self._status_changed = asyncio.Event()
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that registers this gateway as STARTING and renews its lease."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def mark_up(self) -> None:
        """Set the status to UP and report it to the registry."""
        self._status = InstanceStatus.UP
        self._is_registered = False
        self._status_changed.set()

    async def mark_down(self) -> None:
        """Report the status DOWN, so that clients stop sending before the listeners close."""
        body = self._settings.to_request_body(InstanceStatus.DOWN)
        await self._make_final_call("POST", self._app_path(), body)

    async def deregister(self) -> None:
        """Delete the registration."""
        await self._make_final_call("DELETE", self._instance_path())
        await self.close()

    async def close(self) -> None:
        """Stop without deregistering, because another process took over or the registration was deleted."""
        await self._stop_renewing()
        if self._session is not None:
            await self._session.close()

    def _app_path(self) -> str:
        return f"apps/{self._settings.app.upper()}"

    def _instance_path(self) -> str:
        return f"{self._app_path()}/{self._settings.id}"

    async def _run(self) -> None:
        """Register and renew the lease until cancelled; failed calls are retried."""
        while True:
            self._status_changed.clear()
            try:
                await self._renew_or_register()
                pause = self._settings.renewal_interval
            except Exception as err:  # no error may end the renewals
                log.warning(
                    "registry %s: registration or renewal failed: %s %s",
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
        """Renew the lease, or register if the registry does not list this gateway with its current status."""
        if self._is_registered and await self._call("PUT", self._instance_path()) == HTTPStatus.NOT_FOUND:
            log.info(
                "registry %s: this gateway is no longer registered; registering it again",
                self._urls[self._url_index],
            )
            self._is_registered = False
        if not self._is_registered:
            status = self._status
            response_status = await self._call(
                "POST", self._app_path(), self._settings.to_request_body(status)
            )
            if response_status not in (HTTPStatus.OK, HTTPStatus.NO_CONTENT):
                raise OSError(f"registration failed with status {response_status}")
            self._is_registered = status == self._status  # the status may have changed during the call

    async def _call(self, method: str, path: str, body: object = None, timeout: float | None = None) -> int:
        """Call the registry; return the status of its response. Raises the exceptions of aiohttp."""
        if self._session is None:
            self._session = aiohttp.ClientSession(trust_env=False)
        async with (
            timeout_after_poll(timeout or self._timeout),
            self._session.request(
                method,
                f"{self._urls[self._url_index].rstrip('/')}/{path}",
                json=body,
                headers=self._headers,
                timeout=aiohttp.ClientTimeout(),  # limited by `timeout_after_poll`
                allow_redirects=False,
            ) as response,
        ):
            return response.status

    async def _stop_renewing(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _make_final_call(self, method: str, path: str, body: object = None) -> None:
        """Stop renewing and make one call with a short timeout; a failure is only logged."""
        await self._stop_renewing()
        try:
            await self._call(method, path, body, FINAL_CALL_TIMEOUT_S)
        except Exception as err:
            log.warning(
                "registry %s: the final call failed: %s %s",
                self._urls[self._url_index],
                type(err).__name__,
                err,
            )

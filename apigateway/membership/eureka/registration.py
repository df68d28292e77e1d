"""This gateway as an instance of the registry: registered, renewed, taken off."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp

ENDING = 1.0  # s for each of the last two calls: a registry that is away must not hold up a stop

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RegistrationSettings:
    """How this gateway is told of. Times in seconds."""

    app: str
    id: str
    host_name: str
    ip: str
    port: int
    vip: str = ""
    renewal_interval: float = 10.0
    lease_duration: float = 30.0
    metadata: Mapping[str, str] = field(default_factory=dict)

    def instance(self, status: str) -> dict[str, Any]:
        now = int(time.time() * 1000)
        return {
            "instance": {
                "instanceId": self.id,
                "hostName": self.host_name,
                "app": self.app.upper(),
                "ipAddr": self.ip,
                "vipAddress": self.vip or self.app.lower(),
                "secureVipAddress": self.vip or self.app.lower(),
                "status": status,
                "overriddenstatus": "UNKNOWN",
                "port": {"$": self.port, "@enabled": "true"},
                "securePort": {"$": 443, "@enabled": "false"},
                "countryId": 1,
                "metadata": dict(self.metadata),
                "dataCenterInfo": {
                    "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
                    "name": "MyOwn",
                },
                "leaseInfo": {
                    "renewalIntervalInSecs": max(1, round(self.renewal_interval)),
                    "durationInSecs": max(1, round(self.lease_duration)),
                },
                "lastUpdatedTimestamp": str(now),
                "lastDirtyTimestamp": str(now),
            }
        }


class Registration:
    """`start` registers as STARTING; `up` once it can serve; `down` before the listeners close; `leave` at
    the end."""

    def __init__(
        self,
        urls: tuple[str, ...],
        own: RegistrationSettings,
        user: str = "",
        password: str = "",
        timeout: float = 2.0,
    ) -> None:
        self.urls, self.own, self.timeout = urls, own, timeout
        self.headers = {"Authorization": aiohttp.encode_basic_auth(user, password)} if user else {}
        self.status = "STARTING"
        self.at = 0
        self.known = False  # the registry holds us with `status`
        self.changed = asyncio.Event()
        self.session: aiohttp.ClientSession | None = None
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.run())

    def mark_up(self) -> None:
        self.tell("UP")

    def tell(self, status: str) -> None:
        self.status, self.known = status, False
        self.changed.set()

    async def run(self) -> None:
        """Registers and renews for as long as it lives, whatever the registry does."""
        while True:
            self.changed.clear()
            try:
                await self.step()
                pause = self.own.renewal_interval
            except Exception as err:
                log.warning(
                    "registry %s: not told of this gateway: %s %s",
                    self.urls[self.at],
                    type(err).__name__,
                    err,
                )
                self.at = (self.at + 1) % len(self.urls)
                pause = min(1.0, self.own.renewal_interval)
            try:
                async with asyncio.timeout(pause):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def step(self) -> None:
        """Renews; registers where the registry does not know us, or not as we are now."""
        path = f"apps/{self.own.app.upper()}/{self.own.id}"
        if self.known and await self.call("PUT", path) == 404:
            log.info("registry %s: it has forgotten this gateway; registering anew", self.urls[self.at])
            self.known = False
        if not self.known:
            status = self.status
            told = await self.call("POST", f"apps/{self.own.app.upper()}", self.own.instance(status))
            if told not in (200, 204):
                raise OSError(f"status {told} for a registration")
            self.known = status == self.status

    async def call(self, method: str, path: str, body: object = None, seconds: float | None = None) -> int:
        if self.session is None:
            self.session = aiohttp.ClientSession(trust_env=False)
        timeout = aiohttp.ClientTimeout(total=seconds or self.timeout)
        async with self.session.request(
            method,
            f"{self.urls[self.at].rstrip('/')}/{path}",
            json=body,
            headers=self.headers,
            timeout=timeout,
            allow_redirects=False,
        ) as answer:
            return answer.status

    async def mark_down(self) -> None:
        """Others stop sending: told before the listeners close."""
        await self.last("POST", f"apps/{self.own.app.upper()}", self.own.instance("DOWN"))

    async def deregister(self) -> None:
        await self.last("DELETE", f"apps/{self.own.app.upper()}/{self.own.id}")
        await self.close()

    async def close(self) -> None:
        """Tells nothing more: another holds the registration, or it is over."""
        await self.halt()
        if self.session is not None:
            await self.session.close()

    async def halt(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            self.task = None

    async def last(self, method: str, path: str, body: object = None) -> None:
        await self.halt()
        try:
            await self.call(method, path, body, ENDING)
        except Exception as err:
            log.warning(
                "registry %s: not told of the end: %s %s", self.urls[self.at], type(err).__name__, err
            )

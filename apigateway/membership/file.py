"""The list of hosts from a TOML file that is watched: `[[hosts]]` with id, address and what else is known.

A file that cannot be used, or names no host, leaves the last list in force: a list that is being written must
not empty the fleet.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from typing import Annotated, Literal

import msgspec

from apigateway import messages
from apigateway.config_validation import ConfigReader, InvalidConfigFileError, read_toml
from apigateway.membership.listing import Listing
from apigateway.upstream.address import read_address

LOOK = 0.5  # s between looks at the file
STATE = {"up": "up", "draining": "leaving"}

log = logging.getLogger(__name__)


class HostPart(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    id: Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,128}$")]
    address: str
    zone: str = "a"
    cell: Annotated[int, msgspec.Meta(ge=0)] = 0
    kind: str = ""
    weight: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 1.0
    state: Literal["up", "draining"] = "up"
    started: Annotated[float, msgspec.Meta(ge=0, le=1e11)] = 0.0  # Unix time of its last start; 0: long ago


class HostsFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    hosts: list[HostPart] = []


def read_hosts(path: str, mode: str = "full", version: int = 1) -> Listing:
    """Raises InvalidConfigFileError."""
    reader = ConfigReader(path)
    told = reader.read(read_toml(path), HostsFile)
    hosts, addresses = [], {}
    for number, host in enumerate(told.hosts if told else ()):
        at = ("hosts", number)
        try:
            address = read_address(host.address)
        except ValueError:
            reader.add_contradiction((*at, "address"), host.address, "is no address", "write it as HOST:PORT")
            continue
        if host.id in addresses:
            reader.add_contradiction((*at, "id"), host.id, "stands twice", "give each host an id of its own")
        addresses[host.id] = address
        hosts.append(
            messages.Endpoint(
                host.id, host.zone, host.cell, host.weight, host.kind, STATE[host.state], host.started
            )
        )
    if told is not None and not told.hosts:
        reader.add_contradiction(("hosts",), None, "none", "add one [[hosts]] with id and address")
    if reader.problems:
        raise InvalidConfigFileError(reader.problems)
    return Listing(messages.EndpointList(mode, version, tuple(hosts)), addresses)


class HostsInFile:
    """A source of the list, in the shape of `core.ports.Membership`. `told` gets each list that is new."""

    def __init__(self, path: str, told: Callable[[Listing], None], failed: Callable[[], None]) -> None:
        self.path, self.told, self.failed = path, told, failed
        self.version = 0
        self.seen: tuple[int, int, int] | None = None  # what the file was like when it was read
        self.timer: asyncio.TimerHandle | None = None

    @property
    def watching(self) -> bool:
        return self.timer is not None

    def watch(self, on: bool) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if on:
            self.look()

    def look(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(LOOK, self.look)
        try:
            told = os.stat(self.path)
            seen = (told.st_mtime_ns, told.st_size, told.st_ino)
        except OSError:
            seen = (0, 0, 0)
        if seen != self.seen:
            self.seen = seen
            self.fetch()

    def fetch(self) -> None:
        try:
            listing = read_hosts(self.path, version=self.version + 1)
        except InvalidConfigFileError as err:
            for fault in err.problems:
                log.error("%s (the last list stays)", fault)
            self.failed()
            return
        self.version += 1
        self.told(listing)

    async def close(self) -> None:
        self.watch(False)

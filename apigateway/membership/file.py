"""The endpoint list from a TOML file that is polled for changes: `[[hosts]]` with id, address and the rest.

A file that cannot be used, or names no endpoint, leaves the last list in force: a list that is being written
must not empty the fleet.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from typing import Annotated, Literal, NamedTuple

import msgspec

from apigateway import messages
from apigateway.config_validation import ConfigReader, InvalidConfigFileError, read_toml
from apigateway.membership.listing import EndpointListing
from apigateway.messages import EndpointStatus, ListMode
from apigateway.upstream.address import Address, parse_address

POLL_INTERVAL_S = 0.5  # soon enough for an operator who edits the file, and only one stat()
_STATE_BY_FILE_NAME = {"up": EndpointStatus.UP, "draining": EndpointStatus.DRAINING}

log = logging.getLogger(__name__)


class _HostEntry(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """One `[[hosts]]` table."""

    id: Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,128}$")]
    address: str
    zone: str = "a"
    cell: Annotated[int, msgspec.Meta(ge=0)] = 0
    kind: str = ""
    weight: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 1.0
    state: Literal["up", "draining"] = "up"
    started: Annotated[float, msgspec.Meta(ge=0, le=1e11)] = 0.0  # Unix time of its last start; 0: long ago


class _HostsFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    hosts: list[_HostEntry] = []


class _FileVersion(NamedTuple):
    """What tells one version of a file from another; all zero for a file that is not there."""

    modified_ns: int
    size: int
    inode: int


def read_endpoint_file(path: str, mode: ListMode = ListMode.FULL, version: int = 1) -> EndpointListing:
    """Read the file of endpoints.

    Raises:
        InvalidConfigFileError: the file cannot be used; holds all that is wrong in it.
    """
    reader = ConfigReader(path)
    file = reader.read(read_toml(path), _HostsFile)
    endpoints: list[messages.Endpoint] = []
    addresses: dict[str, Address] = {}
    for number, host in enumerate(file.hosts if file else ()):
        at = ("hosts", number)
        try:
            address = parse_address(host.address)
        except ValueError:
            reader.add_semantic_problem(
                (*at, "address"), host.address, "is no address", "write it as HOST:PORT"
            )
            continue
        if host.id in addresses:
            reader.add_semantic_problem(
                (*at, "id"), host.id, "stands twice", "give each host an id of its own"
            )
        addresses[host.id] = address
        endpoints.append(_to_endpoint(host))
    if file is not None and not file.hosts:
        reader.add_semantic_problem(("hosts",), None, "none", "add one [[hosts]] with id and address")
    if reader.problems:
        raise InvalidConfigFileError(reader.problems)
    return EndpointListing(messages.EndpointList(mode, version, tuple(endpoints)), addresses)


class EndpointFileSource:
    """A source of the endpoint list, in the shape of `core.interfaces.EndpointSource`.

    Args:
        path: of the TOML file.
        on_list: called with each new list.
        on_failure: called when the file cannot be used.
    """

    def __init__(
        self, path: str, on_list: Callable[[EndpointListing], None], on_failure: Callable[[], None]
    ) -> None:
        self.version = 0
        self._path = path
        self._on_list = on_list
        self._on_failure = on_failure
        self._file_version: _FileVersion | None = None  # of the last read
        self._timer: asyncio.TimerHandle | None = None

    @property
    def watching(self) -> bool:
        """Whether the file is polled for changes."""
        return self._timer is not None

    def watch(self, on: bool) -> None:
        """Start or stop polling the file; a start polls at once."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if on:
            self._poll()

    def fetch(self) -> None:
        """Read the file now, changed or not."""
        try:
            listing = read_endpoint_file(self._path, version=self.version + 1)
        except InvalidConfigFileError as err:
            for problem in err.problems:
                log.error("%s (the last list stays)", problem)
            self._on_failure()
            return
        self.version += 1
        self._on_list(listing)

    async def close(self) -> None:
        """Stop polling."""
        self.watch(False)

    def _poll(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)
        file_version = _file_version(self._path)
        if file_version != self._file_version:
            self._file_version = file_version
            self.fetch()


def _file_version(path: str) -> _FileVersion:
    try:
        status = os.stat(path)
    except OSError:
        return _FileVersion(0, 0, 0)
    return _FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)


def _to_endpoint(host: _HostEntry) -> messages.Endpoint:
    return messages.Endpoint(
        id=host.id,
        zone=host.zone,
        cell=host.cell,
        weight=host.weight,
        kind=host.kind,
        state=_STATE_BY_FILE_NAME[host.state],
        started_at=host.started,
    )

"""The endpoint list from a TOML file that is polled for changes; each `[[hosts]]` table is an endpoint.

If the file is invalid or contains no endpoint, the last list stays in force: a file that is still being
written must not remove all endpoints.
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

POLL_INTERVAL_S = 0.5  # edits take effect quickly, and a poll costs only one stat()
_STATUS_BY_STATE_VALUE = {"up": EndpointStatus.UP, "draining": EndpointStatus.DRAINING}

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
    started: Annotated[float, msgspec.Meta(ge=0, le=1e11)] = 0.0  # Unix time of the last start; 0: long ago


class _HostsFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    hosts: list[_HostEntry] = []


class _FileVersion(NamedTuple):
    """Identifies a version of the file; all zero if the file does not exist."""

    modified_ns: int
    size: int
    inode: int


def read_endpoint_file(path: str, mode: ListMode = ListMode.FULL, version: int = 1) -> EndpointListing:
    """Read the file of endpoints.

    Raises:
        InvalidConfigFileError: the file is invalid; contains all problems that were found.
    """
    reader = ConfigReader(path)
    file = reader.read(read_toml(path), _HostsFile)
    endpoints: list[messages.Endpoint] = []
    addresses: dict[str, Address] = {}
    for index, host in enumerate(file.hosts if file else ()):
        host_path = ("hosts", index)
        try:
            address = parse_address(host.address)
        except ValueError:
            reader.add_semantic_problem(
                (*host_path, "address"), host.address, "is not an address", "write it as HOST:PORT"
            )
            continue
        if host.id in addresses:
            reader.add_semantic_problem(
                (*host_path, "id"), host.id, "is used more than once", "give each host a unique id"
            )
        addresses[host.id] = address
        endpoints.append(_to_endpoint(host))
    if file is not None and not file.hosts:
        reader.add_semantic_problem(("hosts",), None, "is empty", "add one [[hosts]] with id and address")
    if reader.problems:
        raise InvalidConfigFileError(reader.problems)
    return EndpointListing(messages.EndpointList(mode, version, tuple(endpoints)), addresses)


class EndpointFileSource:
    """A source that reads the endpoint list from a file; implements `core.interfaces.EndpointSource`.

    Args:
        path: path of the TOML file.
        on_list: called with each new list.
        on_failure: called when the file is invalid.
    """

    def __init__(
        self, path: str, on_list: Callable[[EndpointListing], None], on_failure: Callable[[], None]
    ) -> None:
        self.version = 0
        self._path = path
        self._on_list = on_list
        self._on_failure = on_failure
        self._file_version: _FileVersion | None = None  # at the last read
        self._timer: asyncio.TimerHandle | None = None

    @property
    def watching(self) -> bool:
        """Whether the file is polled for changes."""
        return self._timer is not None

    def watch(self, is_on: bool) -> None:
        """Start or stop polling the file; starting polls it at once."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if is_on:
            self._poll()

    def fetch(self) -> None:
        """Read the file now, whether or not it has changed."""
        try:
            listing = read_endpoint_file(self._path, version=self.version + 1)
        except InvalidConfigFileError as err:
            for problem in err.problems:
                log.error("%s (keeping the last list)", problem)
            self._on_failure()
            return
        self.version += 1
        self._on_list(listing)

    async def close(self) -> None:
        """Stop polling."""
        self.watch(False)

    def _poll(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)
        file_version = _read_file_version(self._path)
        if file_version != self._file_version:
            self._file_version = file_version
            self.fetch()


def _read_file_version(path: str) -> _FileVersion:
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
        state=_STATUS_BY_STATE_VALUE[host.state],
        started_at=host.started,
    )

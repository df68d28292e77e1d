"""Tell a supervisor's worker process what it is, and derive its settings from the machine's.

The supervisor (supervisor.py) passes the assignment in environment variables, whose names and forms must
stay: a supervisor and its workers may be of different versions of the program.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from apigateway.daemon.inflight import InFlightWriteTable
from apigateway.daemon.settings import Settings
from apigateway.daemon.sockets import adopt_sockets
from apigateway.upstream.address import format_address, parse_address

WORKER_VARIABLE = "CALICOMAST_WORKER"  # number and count, "2/4"
LISTENERS_VARIABLE = "CALICOMAST_LISTENERS"  # descriptors, "5,6"
MARKS_VARIABLE = "CALICOMAST_MARKS"  # an InFlightRegions, "7,0,4"


class InFlightRegions(NamedTuple):
    """Where the workers of one supervisor mark their writes in flight (inflight.py)."""

    descriptor: int  # of the shared memory
    first_region: int  # the one of worker 0
    region_count: int  # of all regions, a predecessor's among them


@dataclass(frozen=True, slots=True)
class WorkerAssignment:
    """Which worker this process is.

    Attributes:
        number: From 0.
        count: How many workers there are.
        listeners: Descriptors of the listening sockets that the supervisor passed.
        marks: Where writes in flight are marked; None if no other worker has this one's addresses.
    """

    number: int
    count: int
    listeners: tuple[int, ...]
    marks: InFlightRegions | None = None

    def open_in_flight_table(self) -> InFlightWriteTable | None:
        """Return the shared table of writes in flight, if there is one."""
        if self.marks is None:
            return None
        own_region = self.marks.first_region + self.number
        return InFlightWriteTable(self.marks.descriptor, own_region, self.marks.region_count)

    def adopt_listeners(self) -> list[socket.socket]:
        """Return the listening sockets that the supervisor passed."""
        return adopt_sockets(self.listeners)


def read_worker_assignment(env: Mapping[str, str] = os.environ) -> WorkerAssignment | None:
    """Return what the supervisor made of this process; None if it has no supervisor."""
    worker = env.get(WORKER_VARIABLE, "")
    if not worker:
        return None
    number, _, count = worker.partition("/")
    marks = _parse_numbers(env.get(MARKS_VARIABLE, ""))
    return WorkerAssignment(
        int(number),
        int(count),
        _parse_numbers(env.get(LISTENERS_VARIABLE, "")),
        InFlightRegions(marks[0], marks[1], marks[2]) if marks else None,
    )


def worker_environment(
    number: int, count: int, listeners: Iterable[int], marks: InFlightRegions | None
) -> dict[str, str]:
    """Return the variables from which `read_worker_assignment` reads these."""
    return {
        WORKER_VARIABLE: f"{number}/{count}",
        LISTENERS_VARIABLE: _format_numbers(listeners),
        MARKS_VARIABLE: _format_numbers(marks) if marks is not None else "",
    }


def settings_for_worker(settings: Settings, assignment: WorkerAssignment) -> Settings:
    """Return a worker's settings: a gateway of its own, in place of the machine's.

    With `workers.address = "own"` its ports lie above the machine's by its number.
    """
    replace = msgspec.structs.replace
    number = assignment.number
    gateway = settings.gateway
    listeners = settings.listeners
    if settings.workers.address == "own":
        listeners = [replace(one, address=_offset_port(one.address, number)) for one in listeners]
    state = settings.daemon.state
    if state:
        state = os.path.join(state, f"worker-{number}")
    return replace(
        settings,
        listeners=listeners,
        daemon=replace(settings.daemon, state=state),
        gateway=replace(
            gateway,
            name=f"{gateway.name}.{number}",
            index=gateway.index * assignment.count + number,
            gateways=gateway.gateways * assignment.count,
            seed=gateway.seed + number if gateway.seed else 0,
        ),
    )


def _offset_port(address: str, offset: int) -> str:
    host, port = parse_address(address)
    return format_address((host, port + offset))


def _parse_numbers(text: str) -> tuple[int, ...]:
    return tuple(int(number) for number in text.split(",") if number)


def _format_numbers(numbers: Iterable[int]) -> str:
    return ",".join(str(number) for number in numbers)

"""Pass a worker process its assignment, and derive its settings from the machine's.

The supervisor (supervisor.py) passes the assignment in environment variables. Their names and formats must
not change, since a supervisor and its workers may be of different versions of the program.
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
IN_FLIGHT_REGIONS_VARIABLE = "CALICOMAST_MARKS"  # an InFlightRegions, "7,0,4"


class InFlightRegions(NamedTuple):
    """The part of the shared memory in which one supervisor's workers mark writes in flight (inflight.py)."""

    descriptor: int  # descriptor of the shared memory
    first_region: int  # region of worker 0
    region_count: int  # number of all regions, including a predecessor's


@dataclass(frozen=True, slots=True)
class WorkerAssignment:
    """A worker process's number and shared resources.

    Attributes:
        number: Number of the worker, from 0.
        count: Number of workers.
        listeners: Descriptors of the listening sockets that the supervisor passed.
        in_flight_regions: Shared memory for marks of writes in flight; None if workers share no addresses.
    """

    number: int
    count: int
    listeners: tuple[int, ...]
    in_flight_regions: InFlightRegions | None = None

    def open_in_flight_table(self) -> InFlightWriteTable | None:
        """Return the shared table of writes in flight, if there is one."""
        if self.in_flight_regions is None:
            return None
        own_region = self.in_flight_regions.first_region + self.number
        return InFlightWriteTable(
            self.in_flight_regions.descriptor, own_region, self.in_flight_regions.region_count
        )

    def adopt_listeners(self) -> list[socket.socket]:
        """Return the listening sockets that the supervisor passed."""
        return adopt_sockets(self.listeners)


def read_worker_assignment(env: Mapping[str, str] = os.environ) -> WorkerAssignment | None:
    """Return this process's assignment; None if it has no supervisor."""
    worker = env.get(WORKER_VARIABLE, "")
    if not worker:
        return None
    number, _, count = worker.partition("/")
    region_numbers = _parse_numbers(env.get(IN_FLIGHT_REGIONS_VARIABLE, ""))
    return WorkerAssignment(
        int(number),
        int(count),
        _parse_numbers(env.get(LISTENERS_VARIABLE, "")),
        InFlightRegions(region_numbers[0], region_numbers[1], region_numbers[2]) if region_numbers else None,
    )


def worker_environment(
    number: int, count: int, listeners: Iterable[int], in_flight_regions: InFlightRegions | None
) -> dict[str, str]:
    """Return the environment variables that `read_worker_assignment` reads."""
    return {
        WORKER_VARIABLE: f"{number}/{count}",
        LISTENERS_VARIABLE: _format_numbers(listeners),
        IN_FLIGHT_REGIONS_VARIABLE: _format_numbers(in_flight_regions)
        if in_flight_regions is not None
        else "",
    }


def settings_for_worker(settings: Settings, assignment: WorkerAssignment) -> Settings:
    """Return the settings with which a worker runs as a gateway of its own.

    With `workers.address = "own"`, the worker's number is added to the configured ports.
    """
    replace = msgspec.structs.replace
    number = assignment.number
    gateway = settings.gateway
    listeners = settings.listeners
    if settings.workers.address == "own":
        listeners = [
            replace(listener, address=_offset_port(listener.address, number)) for listener in listeners
        ]
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

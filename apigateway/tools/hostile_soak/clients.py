"""Clients of the soak that are judged, and that leave before their answers."""

from __future__ import annotations

import asyncio
import itertools

from apigateway.emulators.ledger import Ledger
from apigateway.tools.shutdown_soak.clients import SoakClients

LEAVE_AFTER_S = (0.0, 0.002, 0.02, 0.05)  # after its request was written
REPEAT_AFTER_S = (0.0, 0.002, 0.05, 0.3)  # after the client left
REST_S = 0.05
PIPELINE_LENGTH = 200


async def repeat_requests(clients: SoakClients, ledger: Ledger) -> None:
    """Leave while a request is out, and send the same one again on a new connection."""
    times = itertools.cycle(itertools.product(LEAVE_AFTER_S, REPEAT_AFTER_S))
    while True:
        await asyncio.sleep(REST_S)
        leave_after_s, repeat_after_s = next(times)
        connection = await clients.connect()
        request = clients.new_request()
        if connection is None or not connection.send(request):
            continue
        await asyncio.sleep(leave_after_s)
        if not connection.open_requests:
            connection.leave()
            continue  # it was answered
        connection.leave()
        await asyncio.sleep(repeat_after_s)
        connection = await clients.connect()
        if connection is not None:
            ledger.record_repeat(request.id)
            if await clients.call(connection, request):
                connection.leave()


async def depart_with_pipeline(clients: SoakClients) -> None:
    """Send many requests at once, and leave before most are answered."""
    delays = itertools.cycle(LEAVE_AFTER_S)
    while True:
        await asyncio.sleep(REST_S)
        connection = await clients.connect()
        if connection is None:
            continue
        connection.send(*(clients.new_request() for _ in range(PIPELINE_LENGTH)))
        await asyncio.sleep(next(delays))
        connection.leave()

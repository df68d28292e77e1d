"""Many commands at once on a kept connection, beside bad clients that repeat what was turned away."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path

from standins2 import repeaters, resp
from standins2.case import CouldNotRunError, Stage, run
from standins2.client import Clients, Connection, Customer
from standins2.deployment import SERVICES, Deployment

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BAD_CLIENTS = 300  # connections; with the usual clients' no more than a third of 1,024 descriptors
BAD_PROCESSES = 2  # so that the bad clients are not slower than the gateway
BAD_CLIENTS_S = 1.0  # until they are there
CONNECTIONS = 10
COMMANDS = 10  # at once on each connection
ROUNDS = 10  # of a connection at most, one after another
PAUSE_S = 0.2  # between the last answer of a round and the next round
ROUNDS_S = 40.0  # after which no round begins
WAIT_S = 2.5  # what a client waits: half of the class's time
LATE_S = 0.5  # after its time, up to which an answer only earns nothing
LIMIT_MARGIN_S = 0.05  # by which each time limit is longer on sockets
BOUND_S = WAIT_S + LATE_S + LIMIT_MARGIN_S
LOOK_S = 4.5  # for which a client looks for an answer after the one before it
GATEWAY = 0


async def _keep(stage: Stage, clients: Clients, customer: Customer) -> Connection:
    """Return a connection on which a request was just answered."""
    connection = await clients.connect(GATEWAY)
    request_id = clients.new_id()
    event = stage.record.add("request", id=request_id, place="first")
    connection.writer.write(clients.encode(customer, request_id, SERVICES[0], WAIT_S))
    reply = await resp.read_reply(connection.reader)
    event["answer"] = None if reply is None else reply.decode("ascii", "replace")
    if reply is None:
        raise CouldNotRunError("a request before the trouble was not answered")
    return connection


async def _send_rounds(stage: Stage, clients: Clients, number: int, connection: Connection) -> None:
    """Send rounds, each for another customer, until the rule is broken or the connection has ended."""
    started_at = stage.record.now()
    for turn in range(ROUNDS):
        customer = Customer(1 + number + CONNECTIONS * turn, "enterprise", 0, 2)
        is_open = await _send_many(stage, clients, customer, connection)
        if not is_open or stage.record.breaches or stage.record.now() - started_at > ROUNDS_S:
            return
        await asyncio.sleep(PAUSE_S)


async def _send_many(stage: Stage, clients: Clients, customer: Customer, connection: Connection) -> bool:
    """Send commands at once; judge each answer's time from when the answer before it came.

    Return whether all were answered.
    """
    record = stage.record
    services = [SERVICES[number % len(SERVICES)] for number in range(COMMANDS)]
    ids = [clients.new_id() for _ in services]
    commands = zip(ids, services, strict=True)
    connection.writer.write(b"".join(clients.encode(customer, one, name, WAIT_S) for one, name in commands))
    sent_at = last_at = record.now()
    for number, request_id in enumerate(ids):
        event = record.add("request", id=request_id, place=number, sent_at=round(sent_at, 4))
        reply: bytes | None = None
        with contextlib.suppress(OSError, TimeoutError):
            reply = await asyncio.wait_for(resp.read_reply(connection.reader), LOOK_S)
        waited_s = record.now() - last_at
        last_at = record.now()
        event["answer"] = None if reply is None else reply.decode("ascii", "replace")
        event["waited_s"] = round(waited_s, 4)
        if reply is None:
            if waited_s > BOUND_S:
                record.breach(
                    f"request {request_id} got no answer in {waited_s:.2f} s after the one before it"
                )
            return False
        if waited_s > BOUND_S:
            record.breach(
                f"request {request_id} was answered {waited_s:.2f} s after the one before it: {reply!r}"
            )
    return True


async def _play(stage: Stage) -> None:
    deployment = Deployment(stage)
    await deployment.open()
    clients = deployment.clients
    customers = [Customer(number + 1, "enterprise", 0, 2) for number in range(CONNECTIONS)]
    connections = await asyncio.gather(*(_keep(stage, clients, customer) for customer in customers))
    if HAS_TROUBLE:
        for _ in range(BAD_PROCESSES):
            process = await repeaters.start(deployment.gateways[GATEWAY].port, BAD_CLIENTS // BAD_PROCESSES)
            stage.push_async_callback(repeaters.end, process)
        stage.record.add("trouble", bad_clients=BAD_CLIENTS, gateway=GATEWAY, sent=repeaters.FIELDS.decode())
    await asyncio.sleep(BAD_CLIENTS_S)
    await asyncio.gather(*(_send_rounds(stage, clients, *pair) for pair in enumerate(connections)))


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, _play)

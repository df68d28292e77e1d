"""Complete the requests that frontends have accepted, then close their connections.

Used for all frontends at a shutdown, and for a single frontend when a reload removes its listener.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable, Collection, Sequence
from typing import TYPE_CHECKING

from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.upstream.address import Address

if TYPE_CHECKING:
    from apigateway.daemon.interfaces import Frontend

# How long a closing listener still accepts connections that arrive in the kernel's queue meanwhile. If new
# ones keep arriving, those after this time are reset.
MAX_ACCEPT_WAIT_S = 0.1
# How long the event loop gets to read what was in the sockets when draining began; also the polling interval.
READ_INTERVAL_S = 0.005
# How long gRPC clients get at least to receive GOAWAY and close their connections, and how long at most to
# close them after the final GOAWAY.
GRPC_SETTLE_S = 1.0
# How long the rest of an incomplete RESP command may take to arrive once connections are draining.
RESP_SETTLE_S = 0.25
# How long RESP clients get to read their last responses and close their connections.
RESP_CLOSE_TIME_S = 0.25
# How long before the deadline requests in flight fail, so that their responses are written and read in time.
LAST_RESPONSES_TIME_S = 0.1


async def close_listeners(
    frontends: Sequence[Frontend], deadline: float, close_sockets: Callable[[], None] | None = None
) -> None:
    """Close listeners and idle connections, after accepting the connections in the listeners' queues.

    The kernel has already established those connections: closing the listener would reset them and lose the
    requests that they carry. Those that are in a queue now are accepted however slow the event loop is.

    Args:
        frontends: Frontends whose listeners are closed.
        deadline: When requests must be answered, by `time.monotonic`; no connection is accepted after it.
        close_sockets: Closes other descriptors of the same listeners. While one is open, the kernel
            establishes further connections, which nobody accepts.
    """
    accept_until = time.monotonic() + MAX_ACCEPT_WAIT_S
    # The event loop accepts one connection of each listener in an iteration.
    remaining_iterations = max((frontend.pending_connection_count for frontend in frontends), default=0)
    while any(frontend.has_pending_connections for frontend in frontends):
        now = time.monotonic()
        if now >= deadline or (now >= accept_until and remaining_iterations <= 0):
            break
        await asyncio.sleep(0)
        remaining_iterations -= 1
    for frontend in frontends:
        frontend.start_draining()
    if close_sockets is not None:
        close_sockets()


async def retire_frontend(
    core: RequestDispatcher, frontend: Frontend, is_listener_open: bool, timeout: float
) -> None:
    """Complete a frontend's accepted requests, then close it.

    Args:
        core: Knows how long a request may take.
        frontend: Frontend whose listener a reload has removed from the settings.
        is_listener_open: Whether its listener is still open because connections wait to be accepted.
        timeout: Seconds for which a client that keeps its connection open may open calls and get answers.
    """
    if is_listener_open:
        await close_listeners([frontend], time.monotonic() + timeout)
    await frontend.wait_settled(grpc_drain_time(core, timeout))
    await frontend.wait_disconnected()
    frontend.close()


def grpc_drain_time(core: RequestDispatcher, remaining: float) -> float:
    """Return the seconds for which gRPC calls are still accepted.

    Clients should open no more calls by then, but some have opened them before they read the GOAWAY and send
    them later. A refusal would be reported to their callers as a failure.
    """
    return min(max(0.0, remaining), max(GRPC_SETTLE_S, acceptance_time(core, remaining)))


def acceptance_time(core: RequestDispatcher, remaining: float) -> float:
    """Return the seconds for which requests may be accepted: afterwards there is time to answer any request.

    Args:
        core: Knows how long a request may take.
        remaining: Seconds until the process must end.
    """
    longest_deadline = max(service_class.deadline for service_class in core.settings.classes.values())
    return max(0.0, remaining - longest_deadline)


async def complete_requests(
    core: RequestDispatcher,
    frontends: Sequence[Frontend],
    grpc_addresses: Collection[Address],
    deadline: float,
    close_sockets: Callable[[], None] | None = None,
) -> None:
    """Close the frontends' listeners, and answer all accepted requests.

    Clients may send on without a pause on connections that are busy. Their requests are served as long as
    there is time for any request, and rejected afterwards: a request that is accepted while the process ends
    would be lost.

    Args:
        core: Holds the requests in flight, and fails those that are not answered by the deadline.
        frontends: All frontends.
        grpc_addresses: Addresses of the frontends that speak gRPC.
        deadline: When this must end, by `time.monotonic`.
        close_sockets: See `close_listeners`.
    """
    await close_listeners(frontends, deadline, close_sockets)
    await asyncio.sleep(READ_INTERVAL_S)
    remaining = max(0.0, deadline - time.monotonic())
    grpc_frontends = [frontend for frontend in frontends if frontend.address in grpc_addresses]
    resp_frontends = [frontend for frontend in frontends if frontend.address not in grpc_addresses]
    await asyncio.gather(
        *(frontend.wait_settled(grpc_drain_time(core, remaining)) for frontend in grpc_frontends),
        *(frontend.wait_settled(min(RESP_SETTLE_S, remaining)) for frontend in resp_frontends),
    )
    await _wait_until_answered(core, frontends, acceptance_time(core, deadline - time.monotonic()))
    await core.drain(deadline - LAST_RESPONSES_TIME_S - time.monotonic())
    await _answer_unread_requests(frontends, deadline)
    remaining = deadline - time.monotonic()
    await asyncio.gather(
        _wait_disconnected(grpc_frontends, min(GRPC_SETTLE_S, remaining)),
        _wait_disconnected(resp_frontends, min(RESP_CLOSE_TIME_S, remaining)),
    )
    for frontend in frontends:
        frontend.close()


async def _wait_until_answered(
    core: RequestDispatcher, frontends: Sequence[Frontend], timeout: float
) -> None:
    """Wait until no request is in flight or unread in a socket, for at most `timeout` seconds."""
    deadline = time.monotonic() + timeout
    while (remaining := deadline - time.monotonic()) > 0:
        is_drained = await core.wait_until_drained(remaining)
        if is_drained and not any(frontend.has_unread_requests for frontend in frontends):
            return
        await asyncio.sleep(READ_INTERVAL_S)


async def _answer_unread_requests(frontends: Sequence[Frontend], deadline: float) -> None:
    """Let the event loop read and reject the requests that have arrived, and write all responses.

    However late the loop is, it reads once more what has arrived.
    """
    await asyncio.sleep(READ_INTERVAL_S)
    while any(frontend.has_unread_requests or frontend.has_unwritten_responses for frontend in frontends):
        if time.monotonic() >= deadline:
            return
        await asyncio.sleep(READ_INTERVAL_S)


async def _wait_disconnected(frontends: Sequence[Frontend], timeout: float) -> None:
    """Wait until the clients have closed their connections, for at most `timeout` seconds.

    A closed socket answers what a client still sends with a reset, which can discard the last responses.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout):
            for frontend in frontends:
                await frontend.wait_disconnected()

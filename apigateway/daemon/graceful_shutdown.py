"""Complete the requests that frontends have accepted, then close their connections.

Used for all frontends at a shutdown, and for a single frontend when a reload removes its listener.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Collection, Sequence
from typing import TYPE_CHECKING

from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.upstream.address import Address

if TYPE_CHECKING:
    from apigateway.daemon.interfaces import Frontend

# How long a closing listener still accepts connections from the kernel's queue. If new ones keep arriving,
# those after this time are reset.
MAX_ACCEPT_WAIT_S = 0.1
# How long the event loop gets to read what was in the sockets when draining began; also the polling interval.
READ_INTERVAL_S = 0.005
# How long gRPC clients get to receive GOAWAY and close their connections.
GRPC_SETTLE_S = 1.0
# How long the rest of an incomplete RESP command may take to arrive once connections are draining.
RESP_SETTLE_S = 0.25


async def close_listeners(frontends: Sequence[Frontend]) -> None:
    """Close listeners and idle connections, after accepting the connections in the listeners' queues.

    The kernel has already established those connections: closing the listener would reset them and lose the
    requests that they carry.
    """
    deadline = time.monotonic() + MAX_ACCEPT_WAIT_S
    while any(frontend.has_pending_connections for frontend in frontends) and time.monotonic() < deadline:
        await asyncio.sleep(READ_INTERVAL_S)
    for frontend in frontends:
        frontend.start_draining()


async def retire_frontend(frontend: Frontend, is_listener_open: bool) -> None:
    """Complete a frontend's accepted requests, then close it.

    Args:
        frontend: Frontend whose listener a reload has removed from the settings.
        is_listener_open: Whether its listener is still open because connections wait to be accepted.
    """
    if is_listener_open:
        await close_listeners([frontend])
    await frontend.wait_disconnected()
    frontend.close()


async def complete_requests(
    core: RequestDispatcher,
    frontends: Sequence[Frontend],
    grpc_addresses: Collection[Address],
    deadline: float,
) -> None:
    """Close the frontends' listeners, and answer all accepted requests.

    Args:
        core: Holds the requests in flight, and fails those that are not answered by the deadline.
        frontends: All frontends.
        grpc_addresses: Addresses of the frontends that speak gRPC.
        deadline: When this must end, by `time.monotonic`.
    """
    await close_listeners(frontends)
    await asyncio.sleep(READ_INTERVAL_S)
    await _handle_deferred_commands(core, deadline)
    for frontend in frontends:
        max_wait_s = GRPC_SETTLE_S if frontend.address in grpc_addresses else RESP_SETTLE_S
        await frontend.wait_settled(min(max_wait_s, max(0.0, deadline - time.monotonic())))
    await core.drain(deadline - time.monotonic())
    # The last responses are written at the end of this loop iteration, if the socket buffers have room.
    await asyncio.sleep(0)
    while any(frontend.has_unwritten_responses for frontend in frontends) and time.monotonic() < deadline:
        await asyncio.sleep(READ_INTERVAL_S)
    for frontend in frontends:
        frontend.close()


async def _handle_deferred_commands(core: RequestDispatcher, deadline: float) -> None:
    """Let the event loop handle the commands that were deferred while it was overloaded."""
    admission = core.admission
    if admission is None:
        return
    while admission.deferred_connections and time.monotonic() < deadline:
        await asyncio.sleep(0)

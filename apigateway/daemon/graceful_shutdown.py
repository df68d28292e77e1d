"""Complete the requests that frontends have accepted, then close their connections.

Used for all frontends at a shutdown, and for single ones whose listener a reload removes.
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

# For connections that wait at a listener about to close; where they never end, later ones are reset.
MAX_ACCEPT_WAIT_S = 0.1
# For the loop to read what lay in the sockets when the connections were told to end; also between checks.
READ_INTERVAL_S = 0.005
# For clients of gRPC to receive GOAWAY and close their connections.
GRPC_SETTLE_S = 1.0
# For the rest of an incomplete command to arrive once connections end.
RESP_SETTLE_S = 0.25


async def close_listeners(frontends: Sequence[Frontend]) -> None:
    """Close listeners and idle connections, once what waited at the listeners has been accepted.

    The kernel has accepted those connections: a close would reset them with the requests that they carry.
    """
    deadline = time.monotonic() + MAX_ACCEPT_WAIT_S
    while any(frontend.has_pending_connections for frontend in frontends) and time.monotonic() < deadline:
        await asyncio.sleep(READ_INTERVAL_S)
    for frontend in frontends:
        frontend.start_draining()


async def retire_frontend(frontend: Frontend, is_listener_open: bool) -> None:
    """Complete what a frontend has accepted, then close it.

    Args:
        frontend: A reload has removed its listener from the settings.
        is_listener_open: Its listener is still to be closed, since connections wait to be accepted.
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
    """Close the frontends' listeners and answer everything that was accepted.

    Args:
        core: Holds the requests in flight; those that are late it fails.
        frontends: All of them.
        grpc_addresses: The addresses of those that speak gRPC.
        deadline: By the system's monotonic clock.
    """
    await close_listeners(frontends)
    await asyncio.sleep(READ_INTERVAL_S)
    await _handle_deferred_commands(core, deadline)
    for frontend in frontends:
        max_wait_s = GRPC_SETTLE_S if frontend.address in grpc_addresses else RESP_SETTLE_S
        await frontend.wait_settled(min(max_wait_s, max(0.0, deadline - time.monotonic())))
    await core.drain(deadline - time.monotonic())
    await asyncio.sleep(0)  # the last answers are written at the end of this turn of the loop, if they fit
    while any(frontend.has_unwritten_responses for frontend in frontends) and time.monotonic() < deadline:
        await asyncio.sleep(READ_INTERVAL_S)
    for frontend in frontends:
        frontend.close()


async def _handle_deferred_commands(core: RequestDispatcher, deadline: float) -> None:
    """Let the loop handle commands that were read while it was overloaded."""
    admission = core.admission
    if admission is None:
        return
    while admission.deferred_connections and time.monotonic() < deadline:
        await asyncio.sleep(0)

"""Query a running gateway for its status, over the socket that it also uses for hand-overs."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from apigateway.daemon.handover import HandoverError, StatusRequest
from apigateway.daemon.handover_channel import REPLY_TIMEOUT_S, HandoverChannel


async def query_gateway(path: str, name: str) -> dict[str, Any]:
    """Return the status `name` of the gateway that listens at `path`.

    Raises:
        HandoverError: No gateway listens at the path, or it does not answer.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    channel = HandoverChannel(sock)
    try:
        await asyncio.get_running_loop().sock_connect(sock, path)
        await channel.send(StatusRequest(name).to_wire())
        return await channel.receive(REPLY_TIMEOUT_S)
    except OSError as err:
        raise HandoverError(f"{path}: no gateway listens there ({err.strerror})") from err
    finally:
        channel.close()

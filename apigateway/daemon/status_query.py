"""Ask the gateway that runs for its status, over the socket by which it also hands over."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from apigateway.daemon.handover import HandoverError, StatusRequest
from apigateway.daemon.handover_channel import REPLY_TIMEOUT_S, HandoverChannel


async def query_gateway(path: str, name: str) -> dict[str, Any]:
    """Query the gateway that listens at this path for the status of that name.

    Raises:
        HandoverError: No gateway runs there, or it does not answer.
    """
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    channel = HandoverChannel(sock)
    try:
        await asyncio.get_running_loop().sock_connect(sock, path)
        await channel.send(StatusRequest(name).to_wire())
        return await channel.receive(REPLY_TIMEOUT_S)
    except OSError as err:
        raise HandoverError(f"{path}: no gateway runs there ({err.strerror})") from err
    finally:
        channel.close()

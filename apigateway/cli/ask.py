"""Asks what runs with a settings file's state folder: one gateway, or each worker of a machine."""

from __future__ import annotations

import asyncio
import os
from typing import Any

from apigateway.daemon.settings import Settings
from apigateway.daemon.status_query import query_gateway


async def ask(settings: Settings, what: str) -> dict[str, dict[str, Any]]:
    """Answers by name; that of a gateway without workers is empty. Raises OSError or HandoverError."""
    state = settings.daemon.state
    if not state:
        raise OSError("daemon.state names no folder, so a running gateway cannot be asked")
    told = await query_gateway(os.path.join(state, "handover"), what)
    if "workers" not in told:
        return {"": told}
    names = [f"worker-{number}" for number in range(told["workers"])]
    each = await asyncio.gather(
        *(query_gateway(os.path.join(state, name, "handover"), what) for name in names)
    )
    return dict(zip(names, each, strict=True))


def headed(name: str, text: str) -> str:
    return f"{name}:\n{text}" if name else text

"""Query the status of the gateway, or of all workers, that runs with a settings file's state folder."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.handover import HandoverError
from apigateway.daemon.settings import Settings, read_settings
from apigateway.daemon.status_query import query_gateway
from apigateway.exit_codes import ExitCode

Status = dict[str, Any]
"""A gateway's response to a status query; its keys are those of the printed JSON."""

StatusByWorker = dict[str, Status]
"""The responses by worker name; the name is empty for a gateway without workers."""


async def query_running_gateway(settings: Settings, query: str) -> StatusByWorker:
    """Return the status of the gateway or the workers that run with these settings.

    Raises:
        OSError: no gateway is running there.
        HandoverError: the response is invalid.
    """
    state_folder = settings.daemon.state
    if not state_folder:
        raise OSError("daemon.state is not set, so a running gateway cannot be queried")
    status = await query_gateway(os.path.join(state_folder, "handover"), query)
    if "workers" not in status:
        return {"": status}
    names = [f"worker-{number}" for number in range(status["workers"])]
    sockets = [os.path.join(state_folder, name, "handover") for name in names]
    statuses = await asyncio.gather(*(query_gateway(socket, query) for socket in sockets))
    return dict(zip(names, statuses, strict=True))


def print_statuses(
    path: str,
    query: Callable[[Settings], Awaitable[StatusByWorker]],
    format_status: Callable[[Status], str],
    as_json: bool,
) -> int:
    """Print the result of a status query for a settings file; return the exit code."""

    async def read_and_query() -> StatusByWorker:
        return await query(read_settings(path))

    try:
        statuses = asyncio.run(read_and_query())
    except InvalidConfigFileError as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID_INPUT
    except (HandoverError, OSError) as error:
        print(f"api-gateway: {error}", file=sys.stderr)
        return ExitCode.FAILED
    print(format_statuses(statuses, as_json, format_status))
    return ExitCode.OK


def format_statuses(statuses: StatusByWorker, as_json: bool, format_status: Callable[[Status], str]) -> str:
    """Return the statuses as JSON, or as text under the name of each worker."""
    if as_json:
        return json.dumps(statuses.get("", statuses), indent=1)
    return "\n".join(_with_heading(name, format_status(status)) for name, status in statuses.items())


def _with_heading(name: str, text: str) -> str:
    return f"{name}:\n{text}" if name else text

"""Query what runs with a settings file's state folder: one gateway, or each worker of a machine."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any

from apigateway.daemon.settings import Settings
from apigateway.daemon.status_query import query_gateway

Status = dict[str, Any]
"""A gateway's answer to a query; its keys are those of the JSON that is printed."""

StatusByWorker = dict[str, Status]
"""The answers by the worker's name, which is empty for a gateway without workers."""


async def query_running_gateway(settings: Settings, query: str) -> StatusByWorker:
    """Return the answers of what runs with these settings.

    Raises:
        OSError: nothing runs there.
        HandoverError: it does not answer as it should.
    """
    state_folder = settings.daemon.state
    if not state_folder:
        raise OSError("daemon.state names no folder, so a running gateway cannot be asked")
    answer = await query_gateway(os.path.join(state_folder, "handover"), query)
    if "workers" not in answer:
        return {"": answer}
    names = [f"worker-{number}" for number in range(answer["workers"])]
    sockets = [os.path.join(state_folder, name, "handover") for name in names]
    answers = await asyncio.gather(*(query_gateway(socket, query) for socket in sockets))
    return dict(zip(names, answers, strict=True))


def format_answers(answers: StatusByWorker, as_json: bool, format_status: Callable[[Status], str]) -> str:
    """Return the answers as JSON, or as text under the name of each worker."""
    if as_json:
        return json.dumps(answers.get("", answers), indent=1)
    return "\n".join(_with_heading(name, format_status(status)) for name, status in answers.items())


def _with_heading(name: str, text: str) -> str:
    return f"{name}:\n{text}" if name else text

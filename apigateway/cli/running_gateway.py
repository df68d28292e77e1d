"""Query what runs with a settings file's state folder: one gateway, or each worker of a machine."""

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


def print_answers(
    path: str,
    query: Callable[[Settings], Awaitable[StatusByWorker]],
    format_status: Callable[[Status], str],
    as_json: bool,
) -> int:
    """Print what a query answers for a settings file; return the exit code."""

    async def read_and_query() -> StatusByWorker:
        return await query(read_settings(path))

    try:
        answers = asyncio.run(read_and_query())
    except InvalidConfigFileError as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID_INPUT
    except (HandoverError, OSError) as error:
        print(f"api-gateway: {error}", file=sys.stderr)
        return ExitCode.FAILED
    print(format_answers(answers, as_json, format_status))
    return ExitCode.OK


def format_answers(answers: StatusByWorker, as_json: bool, format_status: Callable[[Status], str]) -> str:
    """Return the answers as JSON, or as text under the name of each worker."""
    if as_json:
        return json.dumps(answers.get("", answers), indent=1)
    return "\n".join(_with_heading(name, format_status(status)) for name, status in answers.items())


def _with_heading(name: str, text: str) -> str:
    return f"{name}:\n{text}" if name else text

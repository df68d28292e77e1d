"""`api-gateway ratelimit status`: what a gateway's rate limit service, tokens and external service did."""

from __future__ import annotations

import asyncio
import sys

from apigateway.cli.exit_codes import ExitCode
from apigateway.cli.running_gateway import Status, format_answers, query_running_gateway
from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.handover import HandoverError
from apigateway.daemon.settings import read_settings


def print_status(path: str, as_json: bool) -> int:
    """Print the status of the gateway that runs with a settings file; return the exit code."""
    try:
        answers = asyncio.run(query_running_gateway(read_settings(path), "ratelimit"))
    except InvalidConfigFileError as error:
        print(error, file=sys.stderr)
        return ExitCode.UNUSABLE
    except (HandoverError, OSError) as error:
        print(f"api-gateway: {error}", file=sys.stderr)
        return ExitCode.FAILED
    print(format_answers(answers, as_json, _format_status))
    return ExitCode.OK


def _format_status(status: Status) -> str:
    lines = [_format_listener(listener) for listener in status["listeners"]]
    if status["tokens"] is not None:
        lines.append("tokens: " + _format_counts(status["tokens"], "none given yet"))
    if status["outer"] is not None:
        lines.append(_format_external_service(status["outer"]))
    return "\n".join(lines) or "no rate limit service here, and no outer one"


def _format_listener(listener: Status) -> str:
    tls = " (TLS)" if listener["tls"] else ""
    return (
        f"listener {listener['address']}{tls}: {listener['connections']} connections, "
        f"{listener['handshakes failed']} handshakes failed; "
        + _format_counts(listener["answers"], "nothing asked yet")
    )


def _format_external_service(service: Status) -> str:
    last_failure = f" ({service['last']})" if service["last"] else ""
    return (
        f"outer service {service['address']}: {service['state']}{last_failure}, "
        f"{service['out']} questions out, taken to fail {service['turns']} times; "
        + _format_counts(service["counts"], "nothing asked yet")
    )


def _format_counts(counts: dict[str, int], if_none: str) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or if_none

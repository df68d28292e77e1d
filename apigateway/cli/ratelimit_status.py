"""`api-gateway ratelimit status`: print the counts of a gateway's rate limit services and tokens."""

from __future__ import annotations

from functools import partial

from apigateway.cli.running_gateway import Status, print_statuses, query_running_gateway


def print_status(path: str, as_json: bool) -> int:
    """Print the status of the gateway that runs with a settings file; return the exit code."""
    return print_statuses(path, partial(query_running_gateway, query="ratelimit"), _format_status, as_json)


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


def _format_counts(counts: dict[str, int], text_if_empty: str) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or text_if_empty

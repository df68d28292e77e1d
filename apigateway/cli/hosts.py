"""`api-gateway hosts FILE`: print the endpoints that a gateway has accepted or the registry reports."""

from __future__ import annotations

import time
from collections.abc import Sequence
from functools import partial
from typing import Any

from apigateway import messages
from apigateway.cli.running_gateway import Status, StatusByWorker, print_statuses, query_running_gateway
from apigateway.daemon.gateway_status import ListedEndpoint
from apigateway.daemon.settings import Settings
from apigateway.daemon.settings_runtime import build_registry
from apigateway.membership.listing import EndpointListing

_HOST_COLUMNS = ("id", "address", "zone", "cell", "kind", "state", "doubt")
_SELECTION_COLUMNS = ("subset", "out", "load", "report", "sound")  # only for a running gateway
_COLUMN_GAP = "  "

_Row = Sequence[str]


def hosts(path: str, from_registry: bool, as_json: bool) -> int:
    """Print the hosts according to the running gateway or the registry; return the exit code."""
    return print_statuses(path, partial(_query, from_registry=from_registry), _format_status, as_json)


async def _query(settings: Settings, *, from_registry: bool) -> StatusByWorker:
    if from_registry:
        return {"": await _query_registry(settings)}
    return await query_running_gateway(settings, "hosts")


async def _query_registry(settings: Settings) -> Status:
    """Poll the registry once; return the result in the form of a gateway's status. Raises OSError."""
    registry = build_registry(settings)
    if registry is None:
        raise OSError("the settings define no registry: hosts.source is not eureka")
    from apigateway.membership.eureka.source import EurekaSource, resolve_host_name

    source = EurekaSource(
        registry,
        known=EndpointListing(messages.EndpointList(messages.ListMode.CACHED, 0, ()), {}),
        on_change=lambda _: None,
        on_failure=lambda: None,
        resolve=resolve_host_name if registry.mapping.address_source == "name" else None,
    )
    try:
        for _ in registry.urls:  # a failed poll moves on to the next registry
            if await source.poll():
                break
        else:
            raise OSError("no registry answered")
        accepted = [record.accepted for record in source.reconciler.records.values()]
        return {
            "source": f"registry {source.url}",
            "age": time.time() - source.reconciler.last_update_at,
            "hosts": [ListedEndpoint(report.endpoint, report.address).as_json() for report in accepted],
            "left out": list(source.malformed),
        }
    finally:
        await source.close()


def _format_status(status: Status) -> str:
    age = "never heard" if status["age"] is None else f"heard {status['age']:.1f} s ago"
    lines = [f"{status['source']}, {age}, {len(status['hosts'])} hosts"]
    lines += _format_table(_host_rows(status["hosts"]))
    if status.get("choices"):
        lines.append(_format_selection_counts(status["choices"]))
    lines += [_format_site(zone, site) for zone, site in status.get("sites", {}).items()]
    lines += [f"left out: {text}" for text in status.get("left out", ())]
    if status.get("left"):
        lines.append(f"sites left by the settings: {', '.join(status['left'])}")
    return "\n".join(lines)


def _host_rows(host_statuses: list[dict[str, Any]]) -> list[_Row]:
    """Return the heading and a row for each host, with selection columns if any host has them."""
    has_selection = any(host.get("choice") for host in host_statuses)
    rows: list[_Row] = [_HOST_COLUMNS + _SELECTION_COLUMNS if has_selection else _HOST_COLUMNS]
    for host in host_statuses:
        row = tuple(str(host[name]) for name in _HOST_COLUMNS)
        rows.append(row + _selection_cells(host.get("choice")) if has_selection else row)
    return rows


def _selection_cells(selection: dict[str, Any] | None) -> tuple[str, ...]:
    """Return the cells of `_SELECTION_COLUMNS`."""
    if not selection:
        return ("",) * len(_SELECTION_COLUMNS)
    return (
        "in" if selection["near"] else "-",
        str(selection["out"]),
        f"{selection['load']:.1f}",
        "none" if selection["age"] is None else f"{selection['age']:.1f} s",
        f"{selection['sound']:.2f}" + (" resting" if selection["rests"] else ""),
    )


def _format_table(rows: list[_Row]) -> list[str]:
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        _COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def _format_site(zone: str, site: dict[str, Any]) -> str:
    return (
        f"site {zone}: {site['silent']} of {site['hosts']} hosts silent since its last answer, for "
        f"{site['for']:.1f} s; gets {site['part']:.2f} of its part"
    )


def _format_selection_counts(counts: dict[str, int]) -> str:
    """Return how this gateway has selected hosts since its start."""
    return (
        f"choices: {counts['report']} by a fresh report, {counts['mean']} by the mean of all, "
        f"{counts['outside']} outside the subset; drawn and passed over: {counts['doubted']} in doubt or "
        f"cold, {counts['busy']} without a place, {counts['barred']} not allowed"
    )

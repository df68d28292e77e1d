"""`api-gateway hosts FILE`: what a gateway believes of its hosts, or what the registry tells."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any

from apigateway import messages
from apigateway.cli.ask import ask, headed
from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.exit_codes import FAILED, OK, UNUSABLE
from apigateway.daemon.gateway_status import EndpointStatus
from apigateway.daemon.handover import HandoverError
from apigateway.daemon.settings import Settings, read_settings
from apigateway.daemon.settings_runtime import build_registry
from apigateway.membership.listing import Listing

COLUMNS = ("id", "address", "zone", "cell", "kind", "state", "doubt")
CHOICE = ("subset", "out", "load", "report", "sound")  # what the gateway that runs takes it for


def hosts(path: str, registry: bool, as_json: bool) -> int:
    try:
        settings = read_settings(path)
        told = {"": asyncio.run(from_registry(settings))} if registry else asyncio.run(ask(settings, "hosts"))
    except InvalidConfigFileError as err:
        print(err, file=sys.stderr)
        return UNUSABLE
    except (HandoverError, OSError) as err:
        print(f"api-gateway: {err}", file=sys.stderr)
        return FAILED
    if as_json:
        print(json.dumps(told.get("", told), indent=1))
    else:
        print("\n".join(headed(name, table(one)) for name, one in told.items()))
    return OK


async def from_registry(settings: Settings) -> dict[str, Any]:
    registry = build_registry(settings)
    if registry is None:
        raise OSError("the file names no registry: hosts.source is not eureka")
    from apigateway.membership.eureka.source import EurekaSource, resolve

    by_name = resolve if registry.mapping.address == "name" else None
    source = EurekaSource(
        registry,
        Listing(messages.EndpointList("cached", 0, ()), {}),
        lambda _: None,
        lambda: None,
        (),
        by_name,
    )
    try:
        for _ in registry.urls:
            if await source.poll():
                break
        else:
            raise OSError("no registry answers")
        found = [
            EndpointStatus(record.accepted.endpoint, record.accepted.address).as_json()
            for record in source.reconciler.records.values()
        ]
        return {
            "source": f"registry {source.url}",
            "age": time.time() - source.reconciler.last_update_at,
            "hosts": found,
            "left out": list(source.malformed),
        }
    finally:
        await source.close()


def chosen(choice: dict[str, Any]) -> tuple[str, ...]:
    if not choice:
        return ("",) * len(CHOICE)
    age = "none" if choice["age"] is None else f"{choice['age']:.1f} s"
    sound = f"{choice['sound']:.2f}" + " resting" * bool(choice["rests"])
    return "in" if choice["near"] else "-", str(choice["out"]), f"{choice['load']:.1f}", age, sound


def table(told: dict[str, Any]) -> str:
    age = "never heard" if told["age"] is None else f"heard {told['age']:.1f} s ago"
    rows = [COLUMNS + CHOICE * any(host.get("choice") for host in told["hosts"])]
    rows += [
        (*(str(host[name]) for name in COLUMNS), *chosen(host.get("choice") or {}))[: len(rows[0])]
        for host in told["hosts"]
    ]
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]
    left = [f"left out: {text}" for text in told.get("left out", ())]
    left += [f"sites left by the settings: {', '.join(told['left'])}"] if told.get("left") else []
    moved = [moves(told["choices"])] if told.get("choices") else []
    moved += [
        f"site {zone}: {site['silent']} of {site['hosts']} hosts silent since its last answer, for "
        f"{site['for']:.1f} s; gets {site['part']:.2f} of its part"
        for zone, site in told.get("sites", {}).items()
    ]
    return "\n".join([f"{told['source']}, {age}, {len(told['hosts'])} hosts", *lines, *moved, *left])


def moves(counts: dict[str, int]) -> str:
    """What moved this gateway's choices since its start."""
    return (
        f"choices: {counts['report']} by a fresh report, {counts['mean']} by the mean of all, "
        f"{counts['outside']} outside the subset; drawn and passed over: {counts['doubted']} in doubt or "
        f"cold, {counts['busy']} without a place, {counts['barred']} not allowed"
    )

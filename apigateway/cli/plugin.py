"""`api-gateway plugin ...`."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from typing import Any

from apigateway.cli.ask import ask, headed
from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.exit_codes import FAILED, OK, UNUSABLE
from apigateway.daemon.handover import HandoverError
from apigateway.daemon.settings import read_settings
from apigateway.tools import plugin as tool


def run(told: argparse.Namespace) -> int:
    try:
        if told.act == "new":
            print("\n".join(tool.new(told.name, told.kind, told.folder)))
        elif told.act == "build":
            print(tool.build(told.file))
        elif told.act == "check":
            return shown(tool.check(told.path))
        elif told.act == "run":
            return shown(tool.replay(told.path, told.records, told.settings, told.each), told.json)
        elif told.act == "bench":
            return shown(tool.bench(told.path, told.calls), told.json)
        else:
            print(status(told.file, told.json))
        return OK
    except (InvalidConfigFileError, tool.Unusable) as err:
        print(err, file=sys.stderr)
        return UNUSABLE
    except (HandoverError, OSError) as err:
        print(f"api-gateway: {err}", file=sys.stderr)
        return FAILED


def shown(report: tool.Report, as_json: bool = False) -> int:
    print(json.dumps(report.figures, indent=1) if as_json else "\n".join(report.lines))
    return OK if report.good else FAILED


def status(path: str, as_json: bool) -> str:
    told = asyncio.run(ask(read_settings(path), "plugins"))
    if as_json:
        return json.dumps(told.get("", told), indent=1)
    return "\n".join(headed(name, table(one)) for name, one in told.items())


def table(told: dict[str, Any]) -> str:
    if not told["plugins"]:
        return "no plug-ins"
    lines = [f"version {told['version']}, {told['requests']} requests in work on it"]
    lines += [
        f"  version {n}: {count} requests still end on it" for n, count in told["older versions"].items()
    ]
    for one in told["plugins"]:
        calls = sum(one["calls"].values())
        lines.append(
            f"{one['name']} ({one['kind']} {one['digest']}): {one['state']}"
            + (f", back in {one['back in']:.1f} s" if one["back in"] else "")
            + f", {calls} calls, {one['cpu'] / max(calls, 1) * 1e6:.0f} us each"
        )
        for word in ("allowed", "denied", "failed", "not asked", "counters"):
            if one[word]:
                lines.append(f"  {word}: " + ", ".join(f"{k} {v:g}" for k, v in sorted(one[word].items())))
    if told["records"]:
        one = told["records"]
        lines.append(
            f"records: {one['file']}, {one['written']} written, {one['dropped']} dropped, "
            f"{one['failed']} failed"
        )
    return "\n".join(lines)

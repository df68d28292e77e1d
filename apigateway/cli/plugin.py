"""`api-gateway plugin ...`: create, check, replay and benchmark plug-ins."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

from apigateway.cli.running_gateway import Status, format_statuses, query_running_gateway
from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.handover import HandoverError
from apigateway.daemon.settings import read_settings
from apigateway.exit_codes import ExitCode
from apigateway.tools.plugins import bench, check, files, replay
from apigateway.tools.plugins.report import InvalidArgumentError, Report

_MICROSECONDS_PER_SECOND = 1e6
# Groups of counts in a plug-in's status.
_COUNT_GROUPS = ("allowed", "denied", "failed", "not asked", "counters")


def run(arguments: argparse.Namespace) -> int:
    """Run a plug-in command; return the exit code."""
    try:
        return _run_action(arguments)
    except (InvalidConfigFileError, InvalidArgumentError) as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID_INPUT
    except (HandoverError, OSError) as error:
        print(f"api-gateway: {error}", file=sys.stderr)
        return ExitCode.FAILED


def _run_action(arguments: argparse.Namespace) -> int:
    match arguments.action:
        case "check":
            return _print_report(check.check(arguments.path))
        case "run":
            report = replay.replay(arguments.path, arguments.records, arguments.settings, arguments.each)
            return _print_report(report, arguments.json)
        case "bench":
            return _print_report(bench.bench(arguments.path, arguments.calls), arguments.json)
        case "new":
            print("\n".join(files.create(arguments.name, arguments.kind, arguments.folder)))
        case "build":
            print(files.assemble(arguments.file))
        case "status":
            statuses = asyncio.run(query_running_gateway(read_settings(arguments.file), "plugins"))
            print(format_statuses(statuses, arguments.json, _format_status))
    return ExitCode.OK


def _print_report(report: Report, as_json: bool = False) -> int:
    print(json.dumps(report.data, indent=1) if as_json else "\n".join(report.lines))
    return ExitCode.OK if report.succeeded else ExitCode.FAILED


def _format_status(status: Status) -> str:
    if not status["plugins"]:
        return "no plug-ins"
    lines = [f"version {status['version']}, {status['requests']} requests in work on it"]
    for version, count in status["older versions"].items():
        lines.append(f"  version {version}: {count} requests still end on it")
    for plugin in status["plugins"]:
        lines += _format_plugin(plugin)
    if status["records"]:
        lines.append(_format_records(status["records"]))
    return "\n".join(lines)


def _format_plugin(plugin: Status) -> list[str]:
    calls = sum(plugin["calls"].values())
    mean_us = plugin["cpu"] / max(calls, 1) * _MICROSECONDS_PER_SECOND
    back_in = f", back in {plugin['back in']:.1f} s" if plugin["back in"] else ""
    lines = [
        f"{plugin['name']} ({plugin['kind']} {plugin['digest']}): {plugin['state']}{back_in}, "
        f"{calls} calls, {mean_us:.0f} us each"
    ]
    for group in _COUNT_GROUPS:
        if plugin[group]:
            counts = ", ".join(f"{name} {count:g}" for name, count in sorted(plugin[group].items()))
            lines.append(f"  {group}: {counts}")
    return lines


def _format_records(records: Status) -> str:
    return (
        f"records: {records['file']}, {records['written']} written, {records['dropped']} dropped, "
        f"{records['failed']} failed"
    )

"""`api-gateway load run`: run a scenario and print its report."""

from __future__ import annotations

import asyncio
import json
import signal

import uvloop

from apigateway.exit_codes import ExitCode
from apigateway.tools.load.report import build_report, format_report, void_reason
from apigateway.tools.load.scenario import Scenario, target_addresses
from apigateway.tools.load.schedule import schedule
from apigateway.tools.load.sender import Sender


def run(scenario: Scenario, as_json: bool) -> int:
    """Run a scenario and print its report; return the exit code.

    Raises TooManyRequestsError before anything is sent.
    """
    sender = uvloop.run(_send_schedule(scenario))
    void = void_reason(sender.record, scenario.run.late_ms, scenario.run.late_share)
    report = build_report(sender.record, scenario.run.name, void)
    if sender.is_stopped:
        report["stopped"] = True
    print(json.dumps(report, indent=1) if as_json else format_report(report))
    return ExitCode.FAILED if void else ExitCode.OK


async def _send_schedule(scenario: Scenario) -> Sender:
    requests = list(schedule(scenario))  # drawn before the run, so that drawing delays no request
    sender = Sender(iter(requests), scenario.classes, target_addresses(scenario))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, sender.stop)
    await sender.run()
    return sender

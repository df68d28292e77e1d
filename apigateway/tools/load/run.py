"""`api-gateway load run`: plays a scenario and tells what became of it."""

from __future__ import annotations

import asyncio
import json
import signal

import uvloop

from apigateway.tools.load.record import report, text, void
from apigateway.tools.load.scenario import Scenario, addresses
from apigateway.tools.load.schedule import schedule
from apigateway.tools.load.send import Sender

OK, VOID = 0, 1


async def play(scenario: Scenario) -> Sender:
    sender = Sender(iter(list(schedule(scenario))), scenario.classes, addresses(scenario))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, sender.stop)
    await sender.run()
    return sender


def run(scenario: Scenario, as_json: bool) -> int:
    """Raises schedule.TooMany, before anything is sent."""
    sender = uvloop.run(play(scenario))
    why = void(sender.record, scenario.run.late_ms, scenario.run.late_share)
    told = report(sender.record, scenario.run.name, why)
    if sender.told.is_set():
        told["stopped"] = True
    print(json.dumps(told, indent=1) if as_json else text(told))
    return VOID if why else OK

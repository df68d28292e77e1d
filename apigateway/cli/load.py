"""`api-gateway load plan` and `run`."""

from __future__ import annotations

import argparse
import sys

from apigateway.config_validation import InvalidConfigFileError

OK, UNUSABLE = 0, 2


def run(told: argparse.Namespace) -> int:
    from apigateway.tools.load.plan import plan, text
    from apigateway.tools.load.scenario import read_scenario
    from apigateway.tools.load.schedule import TooMany

    try:
        scenario = read_scenario(told.file)
        if told.act == "run":
            if not scenario.targets.gateways:
                print(
                    f"api-gateway: {told.file}: targets.gateways: none to send to; name them", file=sys.stderr
                )
                return UNUSABLE
            from apigateway.tools.load.run import run as play

            return play(scenario, told.json)
        print(text(plan(scenario), told.json))
    except InvalidConfigFileError as err:
        print(err, file=sys.stderr)
        return UNUSABLE
    except TooMany as err:
        print(f"api-gateway: {told.file}: {err}", file=sys.stderr)
        return UNUSABLE
    return OK

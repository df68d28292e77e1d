"""`api-gateway load plan` and `load run`: plan and run load tests."""

from __future__ import annotations

import sys

from apigateway.config_validation import InvalidConfigFileError
from apigateway.exit_codes import ExitCode
from apigateway.tools.load.plan import format_plan, plan_scenario
from apigateway.tools.load.scenario import read_scenario
from apigateway.tools.load.schedule import TooManyRequestsError


def print_plan(path: str, as_json: bool) -> int:
    """Print the requests that a scenario will send; return the exit code."""
    try:
        print(format_plan(plan_scenario(read_scenario(path)), as_json))
    except (InvalidConfigFileError, TooManyRequestsError) as error:
        return _print_unusable(path, error)
    return ExitCode.OK


def run(path: str, as_json: bool) -> int:
    """Send the requests of a scenario and print the report; return the exit code."""
    try:
        scenario = read_scenario(path)
        if not scenario.targets.gateways:
            return _print_unusable(path, ValueError("targets.gateways: none to send to; add at least one"))
        from apigateway.tools.load.run import run as run_scenario  # needs the libraries of an extra

        return run_scenario(scenario, as_json)
    except (InvalidConfigFileError, TooManyRequestsError) as error:
        return _print_unusable(path, error)


def _print_unusable(path: str, error: Exception) -> int:
    names_its_file = isinstance(error, InvalidConfigFileError)
    print(error if names_its_file else f"api-gateway: {path}: {error}", file=sys.stderr)
    return ExitCode.INVALID_INPUT

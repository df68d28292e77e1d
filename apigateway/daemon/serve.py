"""Run `api-gateway serve`: read the settings, then run one gateway or a supervisor of several."""

from __future__ import annotations

import sys

import uvloop

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.config import ConfigError
from apigateway.daemon.configuration import Configuration, has_platform_config, read_configuration
from apigateway.daemon.gateway_process import GatewayProcess
from apigateway.daemon.handover import HandoverError, HandoverInProgressError
from apigateway.daemon.lock import StateFolderLockedError
from apigateway.daemon.logs import LogRateLimiter, start_log
from apigateway.daemon.supervisor import supervise
from apigateway.daemon.workers import read_worker_assignment
from apigateway.exit_codes import ExitCode


def serve(path: str, take_over: bool = False, workers: int = 0) -> int:
    """Run until SIGTERM, and return the exit code.

    Args:
        path: Path of the settings file.
        take_over: Whether to take over from the running gateway.
        workers: Number of worker processes; 0 to use the number in the settings.
    """
    try:
        configuration = read_configuration(path)
        log_rate_limiter = start_log(configuration.settings.daemon.log_lines)
        return int(uvloop.run(_run(path, configuration, log_rate_limiter, take_over, workers)))
    except (InvalidConfigFileError, ConfigError) as err:
        for line in str(err).splitlines():
            _print_error(line)
        return ExitCode.INVALID_INPUT
    except HandoverInProgressError as err:
        _print_error(f"{err}; try again")
        return ExitCode.TEMPORARY_FAILURE
    except (OSError, StateFolderLockedError, HandoverError, ValueError) as err:
        _print_error(str(err))
        return ExitCode.FAILED


async def _run(
    path: str,
    configuration: Configuration,
    log_rate_limiter: LogRateLimiter,
    take_over: bool,
    workers: int,
) -> ExitCode:
    settings, config = configuration
    count = workers or settings.workers.count
    if count > 1 and read_worker_assignment() is None:
        if has_platform_config() or not config.counter:
            raise ValueError("several workers need a counter, and cannot be used with RELAY_CONFIG")
        return await supervise(path, settings, count, take_over)
    await GatewayProcess(path, configuration, log_rate_limiter).run(take_over)
    return ExitCode.OK


def _print_error(text: str) -> None:
    print(f"api-gateway: {text}", file=sys.stderr)

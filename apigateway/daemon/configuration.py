"""Read all that a gateway is configured by: its settings file, and the platform's beside it."""

from __future__ import annotations

import os
from dataclasses import replace
from typing import NamedTuple

from apigateway.daemon.config import Config, read_config
from apigateway.daemon.settings import Settings, read_settings
from apigateway.daemon.settings_runtime import build_config
from apigateway.daemon.workers import WorkerAssignment, read_worker_assignment, settings_for_worker
from apigateway.upstream.address import parse_address

PLATFORM_VARIABLE = "RELAY_CONFIG"


class Configuration(NamedTuple):
    """The settings file, and what a gateway runs with."""

    settings: Settings
    config: Config


def is_beside_platform() -> bool:
    """Return whether the platform's configuration has all but the listeners and the process's own."""
    return bool(os.environ.get(PLATFORM_VARIABLE))


def read_configuration(path: str, again: bool = False) -> Configuration:
    """Read the settings file, and the platform's configuration if there is one.

    Args:
        path: Of the settings file.
        again: A gateway runs with an earlier version of them.

    Raises:
        InvalidConfigFileError, ConfigError: One of them cannot be used.
    """
    if is_beside_platform():
        return _read_beside_platform(path, again)
    settings = read_settings(path)
    assignment = read_worker_assignment()
    if assignment is None:
        return Configuration(settings, build_config(path, settings))
    return _configuration_of_worker(path, settings, assignment)


def _read_beside_platform(path: str, again: bool) -> Configuration:
    settings = read_settings(path, beside=True)
    further_listeners = tuple(parse_address(listener.address) for listener in settings.listeners)
    config = read_config(again=again)
    config = replace(
        config,
        listeners=config.listeners + further_listeners,
        linger=settings.daemon.linger,
        shutdown_timeout=settings.daemon.finish,
    )
    return Configuration(settings, config)


def _configuration_of_worker(path: str, settings: Settings, assignment: WorkerAssignment) -> Configuration:
    gateways_at_address = assignment.count if settings.workers.address == "shared" else 1
    worker_settings = settings_for_worker(settings, assignment)
    return Configuration(worker_settings, build_config(path, worker_settings, gateways_at_address))

"""Read a gateway's configuration: its settings file and, if there is one, the platform's configuration."""

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
    """The settings file as read, and the runtime configuration built from it."""

    settings: Settings
    config: Config


def has_platform_config() -> bool:
    """Return whether RELAY_CONFIG is set.

    The settings file then has only the tables in `settings.TABLES_WITH_PLATFORM_CONFIG`.
    """
    return bool(os.environ.get(PLATFORM_VARIABLE))


def read_configuration(path: str, is_reload: bool = False) -> Configuration:
    """Read the settings file, and the platform's configuration if there is one.

    Args:
        path: Path of the settings file.
        is_reload: Whether a gateway already runs with an earlier version.

    Raises:
        InvalidConfigFileError: The settings file is invalid.
        ConfigError: The platform's configuration is invalid.
    """
    if has_platform_config():
        return _read_with_platform_config(path, is_reload)
    settings = read_settings(path)
    assignment = read_worker_assignment()
    if assignment is None:
        return Configuration(settings, build_config(path, settings))
    return _configuration_for_worker(path, settings, assignment)


def _read_with_platform_config(path: str, is_reload: bool) -> Configuration:
    settings = read_settings(path, with_platform_config=True)
    additional_listeners = tuple(parse_address(listener.address) for listener in settings.listeners)
    config = read_config(is_reload=is_reload)
    config = replace(
        config,
        listeners=config.listeners + additional_listeners,
        linger=settings.daemon.linger,
        shutdown_timeout=settings.daemon.finish,
    )
    return Configuration(settings, config)


def _configuration_for_worker(path: str, settings: Settings, assignment: WorkerAssignment) -> Configuration:
    gateways_at_address = assignment.count if settings.workers.address == "shared" else 1
    worker_settings = settings_for_worker(settings, assignment)
    return Configuration(worker_settings, build_config(path, worker_settings, gateways_at_address))

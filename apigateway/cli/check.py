"""`api-gateway check FILE`: check a settings file."""

from __future__ import annotations

import importlib
import sys

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.config import Config, ConfigError
from apigateway.daemon.configuration import read_configuration
from apigateway.daemon.settings import Settings
from apigateway.exit_codes import ExitCode
from apigateway.upstream.address import format_address


def check(path: str) -> int:
    """Print a summary of a settings file, or all its problems; return the exit code."""
    try:
        settings, config = read_configuration(path)
        _check_named_files(path, settings, config)
    except (InvalidConfigFileError, ConfigError) as error:
        print(error, file=sys.stderr)
        return ExitCode.INVALID_INPUT
    print(f"{path}: good; {_summarize(settings, config)}")
    return ExitCode.OK


def _check_named_files(path: str, settings: Settings, config: Config) -> None:
    """Read the files that the settings name. Raises InvalidConfigFileError.

    Modules that need the libraries of an extra are imported only if the settings use them.
    """
    if settings.plugins or settings.records.file:
        plugins = importlib.import_module("apigateway.daemon.plugins")
        plugins.check_plugins(path, settings, config.settings)
    if config.grpc_listeners or settings.ratelimit.token_keys or settings.ask.address:
        ratelimit = importlib.import_module("apigateway.daemon.ratelimit_config")
        ratelimit.build_ratelimit_config(path, settings, config)


def _summarize(settings: Settings, config: Config) -> str:
    module_settings = config.settings
    listeners = ", ".join(format_address(address) for address in config.listeners)
    parts = [
        f"gateway {module_settings.gateway_index} of {module_settings.gateway_count} at {listeners}",
        f"classes {', '.join(module_settings.classes)}",
        f"plans {', '.join(module_settings.plans)}",
        _summarize_hosts(config),
    ]
    if settings.plugins:
        parts.append(f"plug-ins {', '.join(plugin.name for plugin in settings.plugins)}")
    return ", ".join(parts)


def _summarize_hosts(config: Config) -> str:
    if config.endpoint_file:
        return f"{len(config.known_endpoints.endpoint_list.endpoints)} hosts"
    return "hosts by discovery" if config.discovery else "hosts by a registry"

"""Loads plug-ins as a gateway does, from a file with plug-ins or from a gateway's settings."""

from __future__ import annotations

import os
from typing import NamedTuple

from apigateway import messages
from apigateway.config_validation import InvalidConfigFileError
from apigateway.plugins.loader import PluginEnvironment, load_chain
from apigateway.plugins.settings import HooksSection, PluginSection
from apigateway.plugins.testkit import Kit, read_plugins, settings
from apigateway.tools.plugins.report import InvalidArgumentError

# Top-level keys that only a gateway's settings have.
_GATEWAY_KEYS = ("listeners", "classes", "plans", "gateway")


class _PluginSource(NamedTuple):
    """A file, its plug-ins, and the decision module's settings if it is a gateway's settings file."""

    path: str
    plugins: list[PluginSection]
    hooks: HooksSection
    module_settings: messages.Settings | None


def load_plugins(path: str, module_settings: messages.Settings | None = None) -> Kit:
    """Load the plug-ins of a file, of a folder with a plugin.toml or of a gateway's settings.

    Args:
        path: Path of the file or folder.
        module_settings: Classes, plans and limits; None for those of the gateway's settings, or else of the
            test kit.

    Raises:
        InvalidArgumentError: The file contains no plug-in.
        InvalidConfigFileError: The file cannot be used, or a plug-in fails its checks.
    """
    source = _read_source(path)
    if not source.plugins:
        raise InvalidArgumentError(f"{source.path}: contains no plug-in")
    environment = PluginEnvironment(source.path, module_settings or source.module_settings or settings())
    return Kit(load_chain(source.plugins, source.hooks, environment))


def read_module_settings(path: str) -> messages.Settings:
    """Read the decision module's settings from a gateway's settings. Raises InvalidConfigFileError."""
    from apigateway.daemon.settings import read_settings
    from apigateway.daemon.settings_runtime import build_module_settings

    return build_module_settings(read_settings(path))


def _read_source(path: str) -> _PluginSource:
    if os.path.isdir(path):
        path = os.path.join(path, "plugin.toml")
    try:
        file = read_plugins(path)
        return _PluginSource(path, file.plugins, file.hooks, None)
    except InvalidConfigFileError as error:
        if not any(problem.key in _GATEWAY_KEYS for problem in error.problems):
            raise
    return _read_gateway_source(path)


def _read_gateway_source(path: str) -> _PluginSource:
    from apigateway.daemon.settings import read_settings
    from apigateway.daemon.settings_runtime import build_module_settings

    gateway_settings = read_settings(path)
    module_settings = build_module_settings(gateway_settings)
    return _PluginSource(path, gateway_settings.plugins, gateway_settings.hooks, module_settings)

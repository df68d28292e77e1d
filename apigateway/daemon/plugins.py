"""Build the plug-ins and the request recorder from the settings, and swap them in at a reload.

Imported only if the settings configure one of them.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from apigateway import messages
from apigateway.config_validation import ConfigProblem, InvalidConfigFileError
from apigateway.daemon.gateway_server import GatewayServer
from apigateway.daemon.settings import Settings
from apigateway.plugins.chain_version import ChainVersion
from apigateway.plugins.loader import PluginEnvironment, load_chain
from apigateway.plugins.manager import PluginManager, StateTransferError
from apigateway.plugins.records import RequestRecorder
from apigateway.plugins.settings import RecordsSection

BYTES_PER_MIB = 1024 * 1024  # the unit of sizes in the settings
LOGGED_DIGEST_DIGITS = 12  # leading digits of a plug-in's digest


@dataclass(slots=True)
class PluginUpdate:
    """The plug-ins and the recorder that a start or a reload puts in use.

    Attributes:
        version: The plug-ins.
        recorder: The new request recorder; None if there is none or the current one is kept.
        keeps_recorder: Whether the current recorder is kept.
        changes: Description of the changes for the log; empty if there are none.
    """

    version: ChainVersion
    recorder: RequestRecorder | None
    keeps_recorder: bool
    changes: str = ""


def build_plugins(
    path: str,
    settings: Settings,
    module_settings: messages.Settings,
    old: PluginManager | None = None,
    old_records: RecordsSection | None = None,
) -> PluginUpdate:
    """Load and verify the configured plug-ins; call this on another thread than the event loop's.

    Args:
        path: Path of the settings file.
        settings: The checked settings.
        module_settings: Settings of the decision module.
        old: The plug-ins in use, if there are any.
        old_records: The settings of their recorder.

    Raises:
        InvalidConfigFileError: A plug-in or the recorder cannot be used; all new ones are closed again.
    """
    environment = PluginEnvironment(path, module_settings, settings.gateway.seed)
    old_version = old.version if old is not None else None
    version = load_chain(settings.plugins, settings.hooks, environment, old_version)
    changes = describe_changes(old_version, version)
    if old is not None and settings.records == old_records:
        return PluginUpdate(version, None, keeps_recorder=True, changes=changes)
    try:
        recorder = _create_recorder(path, settings.records)
    except InvalidConfigFileError:
        discard_version(version, old)
        raise
    return PluginUpdate(version, recorder, keeps_recorder=False, changes=changes)


def _create_recorder(path: str, section: RecordsSection) -> RequestRecorder | None:
    if not section.file:
        return None
    file = os.path.join(os.path.dirname(os.path.abspath(path)), section.file)
    try:
        return RequestRecorder(file, section.only, section.max_mb * BYTES_PER_MIB, section.waiting)
    except OSError as err:
        problem = ConfigProblem(
            path,
            "records.file",
            repr(section.file),
            f"cannot be written ({err.strerror})",
            "check the path and its permissions",
        )
        raise InvalidConfigFileError([problem]) from err


def describe_changes(old: ChainVersion | None, new: ChainVersion | None) -> str:
    """Return a log text that lists loaded and removed plug-ins; empty if there are none."""
    old_runners = old.runners if old is not None else []
    new_runners = new.runners if new is not None else []
    loaded = [
        f"{runner.name} {runner.digest[:LOGGED_DIGEST_DIGITS]}"
        for runner in new_runners
        if runner not in old_runners
    ]
    removed = sorted({runner.name for runner in old_runners} - {runner.name for runner in new_runners})
    parts = []
    if loaded:
        parts.append(f"plug-ins loaded: {', '.join(loaded)}")
    if removed:
        parts.append(f"plug-ins removed: {', '.join(removed)}")
    return "; ".join(parts)


def check_plugins(path: str, settings: Settings, module_settings: messages.Settings) -> None:
    """Load and verify all plug-ins, then close them.

    Raises:
        InvalidConfigFileError: A plug-in cannot be used.
    """
    load_chain(
        settings.plugins, settings.hooks, PluginEnvironment(path, module_settings, settings.gateway.seed)
    ).close()


def discard_version(version: ChainVersion, old: PluginManager | None) -> None:
    """Close the plug-ins of an unused version, except those that it shares with the version in use."""
    shared_runners = old.version.runners if old is not None else []
    for runner in version.runners:
        if runner not in shared_runners:
            runner.plugin.close()


def start_plugins(server: GatewayServer, update: PluginUpdate, tick_s: float) -> None:
    """Start plug-ins in a gateway that has none; their tick hook is called every `tick_s` seconds."""
    plugins = PluginManager(update.version, server.clock, server.loop, tick_s, update.recorder)
    plugins.start()
    server.set_plugins(plugins)


def swap_plugins(path: str, server: GatewayServer, update: PluginUpdate, tick_s: float) -> None:
    """Replace a gateway's plug-ins by new ones, which load the saved state of the current ones.

    Raises:
        InvalidConfigFileError: The state could not be loaded; the current plug-ins are unchanged.
    """
    plugins = server.plugins
    if plugins is None:
        start_plugins(server, update, tick_s)
        return
    try:
        plugins.swap(update.version, tick_s)
    except StateTransferError as err:
        discard_version(update.version, plugins)
        if update.recorder is not None:
            update.recorder.finish()
        problem = ConfigProblem(
            path, f"plugins.{err.plugin_name}", "", err.reason, "correct its on_load function"
        )
        raise InvalidConfigFileError([problem]) from err
    if not update.keeps_recorder:
        replaced = plugins.recorder
        plugins.recorder = update.recorder
        if replaced is not None:
            replaced.finish()

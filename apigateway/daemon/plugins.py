"""Build plug-ins and the recorder of requests from the settings, and swap them in at a reload.

Imported only where settings name some.
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

BYTES_PER_MB = 1024 * 1024  # as the settings count them
DIGEST_DIGITS = 12  # of a plug-in's digest, in the log


@dataclass(slots=True)
class PluginUpdate:
    """What a start or a reload is to go over to.

    Attributes:
        version: The plug-ins.
        recorder: Of requests; None: there is none, or the present one stays.
        keeps_recorder: Whether the present one stays.
        changes: What is other than before, for the log; empty: nothing.
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
    """Load and verify the plug-ins that settings name, on another thread than the event loop's.

    Args:
        path: Of the settings file.
        settings: As checked.
        module_settings: Of the decision module.
        old: The plug-ins in force, if there are any.
        old_records: The settings of their recorder.

    Raises:
        InvalidConfigFileError: One cannot be used; nothing of the new is left.
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
        discard(version, old)
        raise
    return PluginUpdate(version, recorder, keeps_recorder=False, changes=changes)


def _create_recorder(path: str, section: RecordsSection) -> RequestRecorder | None:
    if not section.file:
        return None
    file = os.path.join(os.path.dirname(os.path.abspath(path)), section.file)
    try:
        return RequestRecorder(file, section.only, section.max_mb * BYTES_PER_MB, section.waiting)
    except OSError as err:
        problem = ConfigProblem(
            path,
            "records.file",
            repr(section.file),
            f"cannot be written ({err.strerror})",
            "check the path and its rights",
        )
        raise InvalidConfigFileError([problem]) from err


def describe_changes(old: ChainVersion | None, new: ChainVersion | None) -> str:
    """Say for the log which plug-ins are loaded or gone; empty: none."""
    old_runners = old.runners if old is not None else []
    new_runners = new.runners if new is not None else []
    loaded = [
        f"{runner.name} {runner.digest[:DIGEST_DIGITS]}"
        for runner in new_runners
        if runner not in old_runners
    ]
    gone = sorted({runner.name for runner in old_runners} - {runner.name for runner in new_runners})
    parts = []
    if loaded:
        parts.append(f"plug-ins loaded: {', '.join(loaded)}")
    if gone:
        parts.append(f"plug-ins gone: {', '.join(gone)}")
    return "; ".join(parts)


def check_plugins(path: str, settings: Settings, module_settings: messages.Settings) -> None:
    """Load and verify all plug-ins, and let them go again.

    Raises:
        InvalidConfigFileError: One cannot be used.
    """
    load_chain(
        settings.plugins, settings.hooks, PluginEnvironment(path, module_settings, settings.gateway.seed)
    ).close()


def discard(version: ChainVersion, old: PluginManager | None) -> None:
    """Close a version that will not serve, but for what it shares with the one in force."""
    shared = old.version.runners if old is not None else []
    for runner in version.runners:
        if runner not in shared:
            runner.plugin.close()


def start_plugins(server: GatewayServer, update: PluginUpdate, tick_s: float) -> None:
    """Have a gateway that asks no plug-ins ask these, and call them every `tick_s` seconds."""
    plugins = PluginManager(update.version, server.clock, server.loop, tick_s, update.recorder)
    plugins.start()
    server.set_plugins(plugins)


def swap_plugins(path: str, server: GatewayServer, update: PluginUpdate, tick_s: float) -> None:
    """Have a gateway ask these plug-ins in place of its present ones, whose saved state they take over.

    Raises:
        InvalidConfigFileError: They could not; the present ones are as they were.
    """
    plugins = server.plugins
    if plugins is None:
        start_plugins(server, update, tick_s)
        return
    try:
        plugins.swap(update.version, tick_s)
    except StateTransferError as err:
        discard(update.version, plugins)
        if update.recorder is not None:
            update.recorder.finish()
        problem = ConfigProblem(path, f"plugins.{err.plugin_name}", "", err.reason, "mend its on_load")
        raise InvalidConfigFileError([problem]) from err
    if not update.keeps_recorder:
        replaced = plugins.recorder
        plugins.recorder = update.recorder
        if replaced is not None:
            replaced.finish()

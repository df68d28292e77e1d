"""Reload the settings on SIGHUP.

1. The files are read and checked on another thread.
2. Everything new is built while the gateway keeps serving: rate limit services, plug-ins, listeners, the
   endpoint source. A failure up to this point discards everything new and leaves the old settings in force.
3. The new parts are swapped in, in one step that neither waits nor fails.

A request that arrives during a reload starts one more reload after it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.config import Config, ConfigError
from apigateway.daemon.configuration import Configuration, has_platform_config, read_configuration
from apigateway.daemon.gateway_server import GatewayServer
from apigateway.daemon.handover_predecessor import HandoverPredecessor
from apigateway.daemon.logs import LogRateLimiter
from apigateway.daemon.notify import Notifier
from apigateway.daemon.optional_services import build_plugins, build_ratelimit_config
from apigateway.daemon.replacement import Replacement, swap_in
from apigateway.daemon.settings import Settings
from apigateway.daemon.settings_reload import SettingsChange, compare_settings, effective_settings
from apigateway.daemon.sockets import bind_listener
from apigateway.upstream.address import Address, format_address

if TYPE_CHECKING:
    from apigateway.daemon.interfaces import EndpointSource

REJECTED = "rejected, the old settings stay in force"
UNCHANGED = "no changes"

log = logging.getLogger(__name__)


class ReloadRejectedError(Exception):
    """The new settings cannot take effect; `reasons` holds the lines to log."""

    def __init__(self, reasons: Iterable[str]) -> None:
        self.reasons = tuple(reasons)
        super().__init__("\n".join(self.reasons))


@dataclass(slots=True)
class RunningGateway:
    """A gateway in its process and its current configuration, which a reload updates.

    Attributes:
        path: Path of the settings file.
        settings: The settings in force.
        config: The runtime configuration in force.
        server: The gateway.
        sockets: Its listening sockets, kept open for a hand-over.
        predecessor: Its side of a hand-over; None before it is opened, or if no state folder is configured.
        log_rate_limiter: Rate limiter of the log; None if the log is not limited.
    """

    path: str
    settings: Settings
    config: Config
    server: GatewayServer
    sockets: dict[Address, socket.socket]
    predecessor: HandoverPredecessor | None = None
    log_rate_limiter: LogRateLimiter | None = None


class SettingsReloader:
    """Reloads one gateway's settings, one reload at a time."""

    def __init__(self, gateway: RunningGateway, notifier: Notifier) -> None:
        self._gateway = gateway
        self._notifier = notifier
        self._task: asyncio.Task[None] | None = None
        self._is_reload_pending = False

    def request(self) -> None:
        """Start a reload, or schedule another one after the reload in progress."""
        if self._task is not None:
            self._is_reload_pending = True
        else:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def cancel(self) -> None:
        """Cancel the reload in progress, if there is one; the old settings stay in force."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        try:
            while True:
                self._is_reload_pending = False
                self._notifier.reloading()
                status = await self._reload()
                log.info("reload: %s", status)
                self._notifier.ready(status)
                if not self._is_reload_pending:
                    return
        finally:
            self._task = None

    async def _reload(self) -> str:
        """Reload once, and return a description of the changes for the log."""
        try:
            replacement = await self._build(await self._read())
        except ReloadRejectedError as err:
            for reason in err.reasons:
                log.error("%s", reason)
            return REJECTED
        return self._swap_in(replacement)

    async def _read(self) -> Configuration:
        try:
            configuration = await asyncio.to_thread(read_configuration, self._gateway.path, True)
        except (InvalidConfigFileError, ConfigError) as err:
            raise ReloadRejectedError(str(err).splitlines()) from err
        self._check_protocols(configuration.config)
        return configuration

    def _check_protocols(self, config: Config) -> None:
        old = self._gateway.config
        kept = set(old.listeners) & set(config.listeners)
        for address in (old.grpc_listeners ^ config.grpc_listeners) & kept:
            raise ReloadRejectedError(
                [
                    f"{self._gateway.path}: listeners: {format_address(address)}: "
                    "changing its protocol needs a restart or a hand-over"
                ]
            )

    # Build

    async def _build(self, configuration: Configuration) -> Replacement:
        """Build all new parts while the old ones serve; the last step swaps the plug-ins."""
        replacement = await self._build_services(configuration)
        try:
            await self._open_listeners(replacement)
            replacement.endpoint_source = self._create_changed_source(replacement.config)
            # The last step that can fail: the new plug-ins load the state that the old ones have saved.
            replacement.plugin_changes = self._swap_plugins(replacement)
        except InvalidConfigFileError as err:  # raised by the plug-ins, which are closed already
            replacement.close_listeners()
            raise ReloadRejectedError([str(err)]) from err
        except OSError as err:
            self._discard(replacement)
            reason = f"{self._gateway.path}: listeners: {err.strerror}; choose another address"
            raise ReloadRejectedError([reason]) from err
        except BaseException:  # also on cancellation by a shutdown
            self._discard(replacement)
            raise
        return replacement

    async def _build_services(self, configuration: Configuration) -> Replacement:
        gateway = self._gateway
        settings, config = configuration
        try:
            ratelimit_config = await build_ratelimit_config(gateway.path, settings, config)
            plugin_update = await build_plugins(
                gateway.path,
                settings,
                gateway.config.settings,
                gateway.server.plugins,
                gateway.settings.records,
            )
        except InvalidConfigFileError as err:
            raise ReloadRejectedError(str(err).splitlines()) from err
        ratelimit = gateway.server.ratelimit
        if ratelimit is None and ratelimit_config is not None:
            ratelimit = gateway.server.create_ratelimit_services(ratelimit_config)
        new_config = config if has_platform_config() else reloaded_config(gateway.config, config)
        return Replacement(settings, new_config, ratelimit, ratelimit_config, plugin_update)

    async def _open_listeners(self, replacement: Replacement) -> None:
        for address in replacement.config.listeners:
            if address not in self._gateway.sockets:
                replacement.sockets[address] = bind_listener(address)
        for address, sock in replacement.sockets.items():
            frontend = self._gateway.server.create_frontend(
                address, replacement.config, replacement.ratelimit, replacement.ratelimit_config
            )
            replacement.frontends.append(frontend)
            await frontend.listen(sock.dup())

    def _create_changed_source(self, config: Config) -> EndpointSource | None:
        """Return the new source of the endpoint list; None if it has not changed.

        With a platform configuration, `GatewayServer.reload` switches the source instead.
        """
        old = self._gateway.config
        is_same = (config.endpoint_file, config.discovery, config.registry, config.reconciler) == (
            old.endpoint_file,
            old.discovery,
            old.registry,
            old.reconciler,
        )
        if is_same or has_platform_config():
            return None
        return self._gateway.server.create_endpoint_source(config)

    def _swap_plugins(self, replacement: Replacement) -> str:
        """Swap the plug-ins, and return a description of the changes for the log.

        Raises:
            InvalidConfigFileError: The plug-ins could not be swapped; the old ones are unchanged.
        """
        server = self._gateway.server
        update = replacement.plugin_update
        if update is None:
            return self._remove_plugins()
        from apigateway.daemon.plugins import swap_plugins  # imported only if plug-ins are configured

        swap_plugins(self._gateway.path, server, update, replacement.settings.hooks.tick)
        return update.changes

    def _remove_plugins(self) -> str:
        server = self._gateway.server
        old = server.plugins
        server.set_plugins(None)
        if old is None:
            return ""
        from apigateway.daemon.plugins import describe_changes

        return describe_changes(old.version, None)

    def _discard(self, replacement: Replacement) -> None:
        if replacement.plugin_update is not None:
            from apigateway.daemon import plugins

            plugins.discard_version(replacement.plugin_update.version, self._gateway.server.plugins)
        replacement.close_listeners()

    # Swap: from here on, no step waits or fails

    def _swap_in(self, replacement: Replacement) -> str:
        """Put the replacement in force, and return a description of the changes for the log."""
        gateway = self._gateway
        settings_change = compare_settings(gateway.settings, replacement.settings)
        file_changes = _ratelimit_file_changes(replacement)
        removed = gateway.sockets.keys() - set(replacement.config.listeners)
        if has_platform_config():
            gateway.server.reload(replacement.config)
        swap_in(gateway.server, replacement, removed)
        for address in removed:
            gateway.sockets.pop(address).close()
        gateway.sockets.update(replacement.sockets)
        gateway.config = replacement.config
        gateway.settings = effective_settings(gateway.settings, replacement.settings)
        self._apply_process_settings(replacement.settings)
        return _describe(settings_change, replacement.plugin_changes, file_changes)

    def _apply_process_settings(self, settings: Settings) -> None:
        gateway = self._gateway
        if gateway.log_rate_limiter is not None:
            gateway.log_rate_limiter.max_lines_per_second = settings.daemon.log_lines
        if gateway.predecessor is not None:
            gateway.predecessor.ready_timeout_s = settings.daemon.handover_wait


def reloaded_config(old: Config, new: Config) -> Config:
    """Return the configuration after a reload: the old one, with the new values of reloadable settings.

    A reload does not add a counter, since the decision module was built without one.
    """
    return replace(
        old,
        listeners=new.listeners,
        grpc_listeners=new.grpc_listeners,
        endpoint_file=new.endpoint_file,
        discovery=new.discovery,
        registry=new.registry,
        reconciler=new.reconciler,
        counter=new.counter if old.counter else None,
        max_in_flight=new.max_in_flight,
        overload=new.overload,
        linger=new.linger,
        shutdown_timeout=new.shutdown_timeout,
        evacuated_zones=new.evacuated_zones,
    )


def _ratelimit_file_changes(replacement: Replacement) -> str:
    if replacement.ratelimit is None:
        return ""
    from apigateway.daemon.ratelimit_config import describe_file_changes

    return describe_file_changes(replacement.ratelimit.config, replacement.ratelimit_config)


def _describe(change: SettingsChange, plugin_changes: str, file_changes: str) -> str:
    parts = []
    if change.reloaded:
        parts.append(f"took effect: {', '.join(change.reloaded)}")
    parts += [text for text in (plugin_changes, file_changes) if text]
    if change.needs_restart:
        parts.append(f"needs a restart or a hand-over: {', '.join(change.needs_restart)}")
    return "; ".join(parts) or UNCHANGED

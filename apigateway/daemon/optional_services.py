"""Build plug-ins and rate limit services on another thread, if the settings configure them.

Their modules are imported only in that case, so that a gateway without them does not load their code.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from apigateway import messages
from apigateway.daemon.config import Config
from apigateway.daemon.settings import Settings
from apigateway.daemon.settings_runtime import has_plugins, has_ratelimit

if TYPE_CHECKING:
    from apigateway.daemon.plugins import PluginUpdate
    from apigateway.daemon.ratelimit_config import RateLimitConfig
    from apigateway.plugins.manager import PluginManager
    from apigateway.plugins.settings import RecordsSection


async def build_plugins(
    path: str,
    settings: Settings,
    module_settings: messages.Settings,
    old: PluginManager | None = None,
    old_records: RecordsSection | None = None,
) -> PluginUpdate | None:
    """Return the configured plug-ins; None if none are configured.

    Raises:
        InvalidConfigFileError: A plug-in is invalid.
    """
    if not has_plugins(settings):
        return None
    from apigateway.daemon import plugins

    return await asyncio.to_thread(plugins.build_plugins, path, settings, module_settings, old, old_records)


async def build_ratelimit_config(path: str, settings: Settings, config: Config) -> RateLimitConfig | None:
    """Return the configuration of the rate limit services; None if none are configured.

    Raises:
        InvalidConfigFileError: A file named in the settings is invalid.
    """
    if not has_ratelimit(settings):
        return None
    from apigateway.daemon import ratelimit_config

    return await asyncio.to_thread(ratelimit_config.build_ratelimit_config, path, settings, config)

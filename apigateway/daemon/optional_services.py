"""Build plug-ins and rate limit services on another thread, where settings want them.

Their modules are imported here and only then: a gateway without them holds none of their code.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from apigateway import messages
from apigateway.daemon.config import Config
from apigateway.daemon.settings import Settings
from apigateway.daemon.settings_runtime import wants_plugins, wants_ratelimit

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
    """Return the plug-ins that settings name; None: they name none.

    Raises:
        InvalidConfigFileError: One cannot be used.
    """
    if not wants_plugins(settings):
        return None
    from apigateway.daemon import plugins

    return await asyncio.to_thread(plugins.build_plugins, path, settings, module_settings, old, old_records)


async def build_ratelimit_config(path: str, settings: Settings, config: Config) -> RateLimitConfig | None:
    """Return what rate limit services run with; None: settings want none.

    Raises:
        InvalidConfigFileError: A file that settings name cannot be used.
    """
    if not wants_ratelimit(settings):
        return None
    from apigateway.daemon import ratelimit_config

    return await asyncio.to_thread(ratelimit_config.build_ratelimit_config, path, settings, config)

"""Compare two versions of the settings, and determine which changes take effect at a reload."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from apigateway.daemon.settings_schema import Settings

# Tables and keys that take effect at a reload. All others take effect at the next start or hand-over.
RELOADABLE_KEYS = (
    "listeners",
    "sites",
    "hosts.source",
    "hosts.file",
    "hosts.discovery",
    "eureka",
    "trust",
    "counter.address",
    "limits.max_open",
    "overload",
    "plugins",
    "hooks",
    "records",
    "ratelimit",
    "ask",
    "daemon.linger",
    "daemon.finish",
    "daemon.handover_wait",
    "daemon.log_lines",
)


class SettingsChange(NamedTuple):
    """Keys whose values differ between two versions of the settings."""

    reloaded: list[str]  # take effect at the reload
    needs_restart: list[str]  # take effect at a restart or a hand-over


def compare_settings(old: Settings, new: Settings) -> SettingsChange:
    """Return the keys whose values differ, in alphabetical order."""
    changed = sorted(key for key, _ in differences(msgspec.to_builtins(old), msgspec.to_builtins(new)))
    reloadable = reloadable_keys(old, new)
    reloaded = [key for key in changed if _is_within(key, reloadable)]
    needs_restart = [key for key in changed if not _is_within(key, reloadable)]
    return SettingsChange(reloaded, needs_restart)


def effective_settings(old: Settings, new: Settings) -> Settings:
    """Return the settings in force after a reload: new values of reloadable keys, old values of others."""
    result = msgspec.to_builtins(old)
    new_values = msgspec.to_builtins(new)
    for key in reloadable_keys(old, new):
        table, _, name = key.partition(".")
        if name:
            result[table][name] = new_values[table][name]
        else:
            result[table] = new_values[table]
    return msgspec.convert(result, Settings)


def reloadable_keys(old: Settings, new: Settings) -> list[str]:
    """Return the keys that take effect at a reload between these versions.

    Adding or removing a counter needs a restart, since the decision module is built with or without one.
    """
    keeps_counter = bool(old.counter.address) == bool(new.counter.address)
    return [key for key in RELOADABLE_KEYS if keeps_counter or key != "counter.address"]


def differences(old: Any, new: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Yield each differing key as `table.key` with its new value."""
    if isinstance(old, dict) and isinstance(new, dict):
        for name in old.keys() | new.keys():
            yield from differences(old.get(name), new.get(name), f"{path}.{name}" if path else name)
    elif old != new:
        yield path, new


def _is_within(key: str, prefixes: list[str]) -> bool:
    return any(key == prefix or key.startswith(prefix + ".") for prefix in prefixes)

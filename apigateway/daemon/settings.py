"""Read our own settings file: seconds, addresses, service classes, plans, endpoints.

The parts: settings_schema.py has the tables, settings_validation.py the checks between keys,
settings_runtime.py builds what the gateway runs with, settings_reload.py compares versions at a reload.
"""

from __future__ import annotations

from typing import Any

from apigateway.config_validation import ConfigReader, InvalidConfigFileError, read_toml
from apigateway.daemon.settings_schema import Settings
from apigateway.daemon.settings_validation import check_settings

__all__ = ["Settings", "read_settings"]

# Tables that may stand in the file where the platform's RELAY_CONFIG has the rest.
TABLES_BESIDE_PLATFORM = ("listeners", "daemon", "plugins", "hooks", "records")


def read_settings(path: str, beside: bool = False) -> Settings:
    """Read and check the settings file.

    Args:
        path: Of the TOML file.
        beside: The platform's configuration has the rest; only TABLES_BESIDE_PLATFORM may be here.

    Raises:
        InvalidConfigFileError: With all that is wrong in the file.
    """
    tree = read_toml(path)
    reader = ConfigReader(path)
    if beside:
        _reject_platform_tables(reader, tree)
        tree.setdefault("listeners", [])
    settings = reader.read(tree, Settings)
    if settings is not None:
        check_settings(reader, settings, beside)
    if reader.problems or settings is None:
        raise InvalidConfigFileError(reader.problems)
    return settings


def _reject_platform_tables(reader: ConfigReader, tree: dict[str, Any]) -> None:
    for name in tree:
        if name in Settings.__struct_fields__ and name not in TABLES_BESIDE_PLATFORM:
            reader.add_problem(
                (name,),
                None,
                "is told by RELAY_CONFIG",
                f"beside it only {', '.join(TABLES_BESIDE_PLATFORM)} go here",
            )

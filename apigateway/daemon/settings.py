"""Read the gateway's own settings file.

settings_schema.py defines the tables, settings_validation.py checks keys against each other,
settings_runtime.py builds the runtime configuration, and settings_reload.py compares versions at a reload.
"""

from __future__ import annotations

from typing import Any

from apigateway.config_validation import ConfigReader, InvalidConfigFileError, read_toml
from apigateway.daemon.settings_schema import Settings
from apigateway.daemon.settings_validation import check_settings

__all__ = ["Settings", "read_settings"]

# Tables that the file may have if the platform's RELAY_CONFIG provides the other settings.
TABLES_WITH_PLATFORM_CONFIG = ("listeners", "daemon", "plugins", "hooks", "records")


def read_settings(path: str, with_platform_config: bool = False) -> Settings:
    """Read and check the settings file.

    Args:
        path: Path of the TOML file.
        with_platform_config: Whether the platform's configuration provides the other settings; the file may
            then have only TABLES_WITH_PLATFORM_CONFIG.

    Raises:
        InvalidConfigFileError: There are problems in the file; lists all of them.
    """
    document = read_toml(path)
    reader = ConfigReader(path)
    if with_platform_config:
        _reject_platform_tables(reader, document)
        document.setdefault("listeners", [])
    settings = reader.read(document, Settings)
    if settings is not None:
        check_settings(reader, settings, with_platform_config)
    if reader.problems or settings is None:
        raise InvalidConfigFileError(reader.problems)
    return settings


def _reject_platform_tables(reader: ConfigReader, document: dict[str, Any]) -> None:
    for name in document:
        if name in Settings.__struct_fields__ and name not in TABLES_WITH_PLATFORM_CONFIG:
            reader.add_problem(
                (name,),
                None,
                "is set by the file that RELAY_CONFIG names",
                f"with it, only {', '.join(TABLES_WITH_PLATFORM_CONFIG)} may be here",
            )

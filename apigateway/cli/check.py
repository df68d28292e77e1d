"""`api-gateway check FILE`."""

from __future__ import annotations

import importlib
import sys

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon.config import ConfigError
from apigateway.daemon.configuration import read_configuration
from apigateway.daemon.exit_codes import OK, UNUSABLE
from apigateway.upstream.address import write_address


def check(path: str) -> int:
    try:
        told, config = read_configuration(path)
        if told.plugins or told.records.file:
            importlib.import_module("apigateway.daemon.plugins").check_plugins(path, told, config.settings)
        if config.grpc or told.ratelimit.token_keys or told.ask.address:
            importlib.import_module("apigateway.daemon.ratelimit_config").build_ratelimit_config(
                path, told, config
            )
    except (InvalidConfigFileError, ConfigError) as err:
        print(err, file=sys.stderr)
        return UNUSABLE
    settings = config.settings
    listeners = ", ".join(write_address(address) for address in (config.listen, *config.more))
    source = "discovery" if config.discovery else "a registry"
    hosts = f"{len(config.known.hosts.endpoints)} hosts" if config.hosts_file else f"hosts by {source}"
    print(
        f"{path}: good; gateway {settings.gateway_index} of {settings.gateway_count} at {listeners}, "
        f"classes {', '.join(settings.classes)}, plans {', '.join(settings.plans)}, {hosts}"
        + (f", plug-ins {', '.join(part.name for part in told.plugins)}" if told.plugins else "")
    )
    return OK

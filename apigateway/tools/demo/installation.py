"""Defines the demo installation: classes, plans, customers and the user's plug-ins."""

from __future__ import annotations

import os
import random
import re
from pathlib import Path

from apigateway.emulators.clients import Customer
from apigateway.emulators.fleet import ClassSettings, FleetSettings, PlanSettings
from apigateway.plugins.testkit import read_plugins

FLEET_SETTINGS = FleetSettings(
    classes={
        "roster-read": ClassSettings("safe", 1.0, 3.0, 1.0, 0.06, 0.41),
        "shift-update": ClassSettings("keyed", 1.5, 4.0, 5.0, 0.09, 0.40, "cell", 6.0),
        "staff-notice": ClassSettings("unsafe", 1.0, 3.0, 3.0, 0.06, 0.19),
    },
    plans={
        "basic": PlanSettings(1.0, 5.0, 0.88),
        "standard": PlanSettings(3.0, 12.0, 1.2),
        "enterprise": PlanSettings(12.0, 24.0, 1.8, 24.0, 48.0),
    },
)

GRPC_CLASS = "roster-read"  # class of the requests that are checked through the rate limit service

# Request rate of each customer of a plan, as a share of the plan's rate: under, near and over its quota.
_DEMAND_SHARES = {
    "basic": [0.4] * 8 + [0.95] * 3 + [2.5],
    "standard": [0.4] * 6 + [0.95] * 2 + [3.0],
    "enterprise": [0.4, 0.95, 4.0],
}
_MIN_GATEWAYS = 2  # per customer

_FILE_KEY = re.compile(r'^file = "', re.MULTILINE)


def create_customers(seed: int) -> list[Customer]:
    """Return the customers; their gateways are drawn with the seed."""
    rng = random.Random(seed)
    customers: list[Customer] = []
    for plan, demand_shares in _DEMAND_SHARES.items():
        for demand_share in demand_shares:
            customers.append(
                Customer(
                    f"{len(customers) + 1:016x}",
                    plan,
                    demand_share * FLEET_SETTINGS.plans[plan].rate,
                    rng.randrange(FLEET_SETTINGS.gateways),
                    rng.randint(_MIN_GATEWAYS, FLEET_SETTINGS.gateways),
                )
            )
    return customers


def read_plugin_settings(paths: list[str]) -> str:
    """Return the `[[plugins]]` sections of all files, with absolute paths for the files that they name.

    Plug-ins are checked here, so that an invalid one is reported once and not by three gateways that fail to
    start.

    Raises:
        InvalidConfigFileError: a plug-in is invalid.
        OSError: a file cannot be read.
    """
    return "\n".join(_read_plugin_file(path) for path in paths)


def _read_plugin_file(path: str) -> str:
    file = Path(path) / "plugin.toml" if Path(path).is_dir() else Path(path)
    read_plugins(str(file))
    folder = str(file.resolve().parent) + os.sep
    return _FILE_KEY.sub(lambda match: match.group() + folder, file.read_text(encoding="utf-8"))

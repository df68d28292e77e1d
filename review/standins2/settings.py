"""The settings of a small deployment, in the form that a gateway reads from its configuration."""

from __future__ import annotations

import copy
from typing import Any

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
ZONES = ["east-wing", "west-wing", "north-wing"]

# The classes, plans and rules of the site file `kakkanad-rota`.
SITE: dict[str, Any] = {
    "clients": {"marks_retry": True},
    "family": "gate",
    "registry_mode": "pushed",
    "limits": {
        "cancel": True,
        "connect_timeout": 250 * MILLISECOND,
        "cpu_us_per_request": 0.0,
        "cpu_us_per_s": 500_000,
        "idle_close": 30 * SECOND,
        "max_attempts": 6,
        "max_open": 20_000,
        "max_retry_after": 2 * SECOND,
        "peers": False,
        "probes": True,
        "retry_after": False,
        "second_copies": False,
        "streams_per_conn": 100,
    },
    "machine_types": ["std-4core"],
    "prices": {"cross_zone": 0.005, "waste": 0.03, "probe": 0.01, "peer": 0.0, "late_fail": 0.05},
    "reporting": {"names": ["avg_ms", "cpu", "waiting"], "via": "answers"},
    "rules": {
        "answer_slack": 8 * MILLISECOND,
        "cold": 17 * SECOND,
        "drain_grace": 2 * SECOND,
        "fall_multiple": 2.0,
        "must_ask_in": 10 * SECOND,
        "start_capacity": 0.15,
        "tip_after": 2 * SECOND,
    },
    "scoring_mix": {"whole": 0.55, "worst_class": 0.0, "worst_tenant": 0.25, "worst_window": 0.2},
    "specifics": {
        "counter_price": 0.01,
        "counter_timeout": 80 * MILLISECOND,
        "meter_period": 0,
        "peer_intake": 0.0,
        "settles": False,
        "shared_counter": True,
        "units_top": 1,
    },
    "stage": 0,
    "tick": 2 * MILLISECOND,
    "tiers": ["roster-nodes"],
    "weights": "none",
    "zones": ZONES,
}


def service(
    name: str,
    effect: str,
    aim_s: float,
    deadline_s: float,
    worth: float,
    scope: str = "all",
    memory_s: float | None = None,
) -> dict[str, Any]:
    """Return a class of requests; `effect` in the words of the wire: pure, token or side_effect."""
    return {
        "name": name,
        "effect": effect,
        "slo": int(aim_s * SECOND),
        "deadline": int(deadline_s * SECOND),
        "gain": worth,
        "dedup_scope": scope,
        "memory_span": int((deadline_s if memory_s is None else memory_s) * SECOND),
        "late_value": 0.0,
        "streaming": False,
    }


def plan(
    name: str,
    rate: float,
    burst: float,
    value: float,
    ceiling_rate: float = 0.0,
    ceiling_burst: float = 0.0,
    over_cost: float = 0.5,
) -> dict[str, Any]:
    """Return a plan; its ceiling's slack is a tenth of the burst or one request, whichever is more."""
    return {
        "name": name,
        "rate": rate,
        "most_at_once": burst,
        "value_factor": value,
        "over_cost": over_cost,
        "beyond_earns": 0.0,
        "parallel": 0,
        "cap_rate": ceiling_rate,
        "cap_depth": ceiling_burst,
        "hard_slack": max(1.0, ceiling_burst / 10) if ceiling_rate else 0.0,
    }


# The site's classes.
READ = service("roster-read", "pure", 2.0, 5.0, 1.0)
UPDATE = service("shift-update", "token", 2.5, 6.0, 5.0, scope="cell", memory_s=6.0)
NOTICE = service("staff-notice", "side_effect", 1.5, 5.0, 3.0)


def make_settings(
    index: int,
    count: int,
    zone: str,
    services: list[dict[str, Any]],
    plans: list[dict[str, Any]],
    **changes: dict[str, Any],
) -> dict[str, Any]:
    """Return the settings of gateway `index` of `count`; `changes` update tables of the site's settings."""
    settings = copy.deepcopy(SITE)
    for table, values in changes.items():
        settings[table].update(values)
    settings.update(index=index, group_size=count, locality=zone, services=services, plans=plans)
    return settings

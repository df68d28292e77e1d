"""The platform's configuration of one gateway, as a deployment writes it, for emulators on loopback."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "group_size": 1,
    "index": 0,
    "locality": "a",
    "registry_mode": "pushed",
    "limits": {
        "cancel": True,
        "second_copies": False,
        "probes": True,
        "max_attempts": 3,
        "retry_after": True,
        "max_retry_after": 2_000_000_000,
        "connect_timeout": 250_000_000,
        "idle_close": 30_000_000_000,
        "max_open": 20000,
    },
    "rules": {
        "answer_slack": 8_000_000,
        "drain_grace": 1_000_000_000,
        "start_capacity": 0.2,
        "cold": 1_000_000_000,
        "fall_multiple": 2.0,
        "tip_after": 1_000_000_000,
    },
    "services": [
        {"name": "read", "slo": 1_000_000_000, "deadline": 3_000_000_000, "effect": "pure", "gain": 1.0},
        {
            "name": "write",
            "slo": 1_000_000_000,
            "deadline": 3_000_000_000,
            "effect": "token",
            "gain": 1.0,
            "dedup_scope": "cell",
            "memory_span": 3_000_000_000,
        },
        {
            "name": "note",
            "slo": 1_000_000_000,
            "deadline": 3_000_000_000,
            "effect": "side_effect",
            "gain": 1.0,
        },
    ],
    "plans": [
        {"name": "p", "rate": 1000.0, "most_at_once": 10000.0},
        {"name": "small", "rate": 1.0, "most_at_once": 1.0},
    ],
    "prices": {"cross_zone": 0.005},
    "reporting": {"names": ["active"], "via": "answers"},
    "specifics": {
        "shared_counter": True,
        "counter_price": 0.01,
        "counter_timeout": 80_000_000,
        "units_top": 1,
    },
    "weights": "none",
}


def make_discovery_entry(name: str, port: int, state: str = "up") -> dict[str, Any]:
    """Return a host's entry in discovery."""
    return {
        "id": name,
        "addr": f"127.0.0.1:{port}",
        "zone": "a",
        "kind": "k",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


def make_configuration(
    entries: list[dict[str, Any]],
    discovery_port: int,
    counter_port: int,
    settings: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Return the content of the RELAY_CONFIG file of a gateway at a free port; times are in ns."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "counter": f"127.0.0.1:{counter_port}",
        "known": {"version": 1, "full": True, "servers": entries},
        "settings": settings or SETTINGS,
    }

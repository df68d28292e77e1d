"""Define a gateway's runtime configuration, and build it from the platform's environment and JSON file."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, NamedTuple

from apigateway import messages
from apigateway.daemon.memory_limits import default_max_customers
from apigateway.membership.listing import EndpointListing, listing_from_json
from apigateway.platform_settings import nanoseconds_to_seconds, read_settings
from apigateway.upstream.address import Address, parse_address

if TYPE_CHECKING:
    from apigateway.membership.eureka.registration import RegistrationSettings
    from apigateway.membership.eureka.source import RegistrySettings
    from apigateway.membership.reconciler import ReconcilerSettings

# After SIGTERM, the platform waits at least for the longest request deadline, of which it counts at most
# MAX_SHUTDOWN_DEADLINE_S, and for KILL_DELAY_S more before it sends SIGKILL.
MAX_SHUTDOWN_DEADLINE_S = 3.0
KILL_DELAY_S = 0.7
# All requests are answered this long before the earliest SIGKILL.
KILL_MARGIN_S = 0.3
BYTES_PER_MIB = 1024 * 1024


class ConfigError(Exception):
    """The configuration is invalid; the message gives the reason in one line."""


class OverloadSettings(NamedTuple):
    """Thresholds above which the event loop counts as overloaded."""

    target_lag_s: float
    max_iteration_s: float  # duration of one iteration of the loop


@dataclass(frozen=True, slots=True)
class Config:
    """The runtime configuration of a gateway; durations are in seconds.

    Attributes:
        name: Name of the gateway.
        listeners: Addresses to listen on, at least one.
        discovery: Address of the discovery service; None if endpoints come from another source.
        counter: Address of the quota counter; None if there is none.
        seed: Seed of all random choices.
        memory_bytes: Memory limit, above which the process is killed.
        max_descriptors: Limit on the process's open files and sockets.
        known_endpoints: The last endpoint list that this gateway received; it may be out of date.
        settings: Settings of the decision module.
        connect_timeout: Timeout for connecting to an endpoint.
        idle_timeout: Endpoints close a connection that has been idle for this long.
        max_in_flight: Limit on concurrent requests.
        grpc_listeners: The addresses in `listeners` that speak gRPC; the others speak RESP2.
        endpoint_file: File with the endpoint list, used instead of a discovery service.
        registry: Eureka registry, used instead of a discovery service.
        reconciler: How changes of the endpoint list are checked before they are accepted; None to accept all.
        gateways_at_address: Number of gateways that clients reach at one address: workers that share it.
        registration: How this gateway registers itself with Eureka; None if it does not.
        overload: Thresholds of load shedding; None to never shed load early.
        evacuated_zones: Zones that get no new requests, as set by the operator.
        linger: How long after SIGTERM connections are still accepted.
        shutdown_timeout: Time after SIGTERM by which all requests are answered.
    """

    name: str
    listeners: tuple[Address, ...]
    discovery: Address | None
    counter: Address | None
    seed: int
    memory_bytes: int
    max_descriptors: int
    known_endpoints: EndpointListing
    settings: messages.Settings
    connect_timeout: float
    idle_timeout: float
    max_in_flight: int
    grpc_listeners: frozenset[Address] = frozenset()
    endpoint_file: str | None = None
    registry: RegistrySettings | None = None
    reconciler: ReconcilerSettings | None = None
    gateways_at_address: int = 1
    registration: RegistrationSettings | None = None
    overload: OverloadSettings | None = None
    evacuated_zones: tuple[str, ...] = ()
    linger: float = 0.5
    shutdown_timeout: float = 3.4


def read_config(env: Mapping[str, str] = os.environ, is_reload: bool = False) -> Config:
    """Return the configuration in the file named by RELAY_CONFIG, with overrides from the environment.

    Args:
        env: The environment.
        is_reload: Whether the file was replaced while the program runs. Its discovery address is then newer
            than the one in the environment, which dates from the start.

    Raises:
        ConfigError: The file is missing or invalid.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            return _build_config(json.load(file), env, is_reload)
    except KeyError as err:
        raise ConfigError(f"{path}: missing or unknown {err}") from err
    except (OSError, ValueError, TypeError, AttributeError) as err:
        raise ConfigError(f"{path}: {' '.join(str(err).split())}") from err


def _build_config(document: dict[str, Any], env: Mapping[str, str], is_reload: bool) -> Config:
    limits = document["settings"]["limits"]
    memory_bytes = int(document["limits"]["memory_mb"]) * BYTES_PER_MIB
    settings = replace(read_settings(document["settings"]), max_customers=default_max_customers(memory_bytes))
    counter = document.get("counter")
    if settings.has_counter and not counter:
        raise ValueError("the settings allow a counter but no address is given")
    return Config(
        name=env.get("RELAY_NAME") or document["name"],
        listeners=(parse_address(env.get("RELAY_LISTEN") or document["listen"]),),
        discovery=parse_address((not is_reload and env.get("RELAY_DISCOVERY")) or document["discovery"]),
        counter=parse_address(counter) if counter else None,
        seed=int(document["seed"], 16),
        memory_bytes=memory_bytes,
        max_descriptors=int(document["limits"]["sockets"]),
        known_endpoints=listing_from_json(document["known"], messages.ListMode.CACHED),
        settings=settings,
        connect_timeout=nanoseconds_to_seconds(limits["connect_timeout"]),
        idle_timeout=nanoseconds_to_seconds(limits["idle_close"]),
        max_in_flight=int(limits["max_open"]),
        shutdown_timeout=_shutdown_timeout(settings),
    )


def _shutdown_timeout(settings: messages.Settings) -> float:
    longest_deadline = max(service_class.deadline for service_class in settings.classes.values())
    return min(MAX_SHUTDOWN_DEADLINE_S, longest_deadline) + KILL_DELAY_S - KILL_MARGIN_S

"""Build what a gateway runs with, a Config, from the platform's environment and JSON file."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from apigateway import messages
from apigateway.membership.listing import EndpointListing, listing_from_json
from apigateway.platform_settings import nanoseconds_to_seconds, read_settings
from apigateway.upstream.address import Address, parse_address

if TYPE_CHECKING:
    from apigateway.membership.eureka.registration import RegistrationSettings
    from apigateway.membership.eureka.source import RegistrySettings
    from apigateway.membership.reconciler import ReconcilerSettings

# The platform sends SIGKILL no sooner after SIGTERM than the longest deadline, or this where it is less, ...
MAX_SHUTDOWN_DEADLINE_S = 3.0
# ... and so much more;
KILL_DELAY_S = 0.7
# so long before that, everything is answered.
KILL_MARGIN_S = 0.3
MIB = 1024 * 1024


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


class OverloadSettings(NamedTuple):
    """When the event loop is overloaded, in seconds."""

    target_lag: float
    max_turn: float  # of one turn of the loop


@dataclass(frozen=True, slots=True)
class Config:
    """What a gateway runs with; durations are in seconds.

    Attributes:
        name: The gateway's.
        listeners: Addresses, one at least.
        discovery: Address of the discovery service; None: endpoints come from elsewhere.
        counter: Address of the quota counter; None: there is none.
        seed: Of all random choices.
        memory_bytes: Past these the process is killed.
        max_descriptors: Files and sockets that the process may hold.
        known_endpoints: As this gateway last had them; they may be old.
        settings: Of the decision module.
        connect_timeout: Of a connection to an endpoint.
        idle_timeout: Endpoints close a connection that has been idle for this long.
        max_in_flight: Requests at once.
        grpc_listeners: Those of `listeners` that speak gRPC; the others speak RESP2.
        endpoint_file: In place of a discovery.
        registry: Likewise.
        reconciler: What of a discovery's lists is accepted; None: all.
        gateways_at_address: Gateways that clients know as one: workers on one address.
        registration: How this gateway registers itself with Eureka; None: it does not.
        overload: When load is shed early; None: never.
        evacuated_zones: Nothing new goes to them, by the operator's word.
        linger: How long connections are still accepted after SIGTERM.
        shutdown_timeout: How long after SIGTERM everything is answered.
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


def read_config(env: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    """Return the Config from the file that RELAY_CONFIG names and the variables beside it.

    Args:
        env: The environment.
        again: The file was replaced while the program runs, so the discovery that it names is newer than the
            one that the environment named at the start.

    Raises:
        ConfigError: The file cannot be used.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            return _build_config(json.load(file), env, again)
    except KeyError as err:
        raise ConfigError(f"{path}: missing or unknown {err}") from err
    except (OSError, ValueError, TypeError, AttributeError) as err:
        raise ConfigError(f"{path}: {' '.join(str(err).split())}") from err


def _build_config(tree: dict[str, Any], env: Mapping[str, str], again: bool) -> Config:
    limits = tree["settings"]["limits"]
    settings = read_settings(tree["settings"])
    counter = tree.get("counter")
    if settings.has_counter and not counter:
        raise ValueError("the settings allow a counter but no address is given")
    return Config(
        name=env.get("RELAY_NAME") or tree["name"],
        listeners=(parse_address(env.get("RELAY_LISTEN") or tree["listen"]),),
        discovery=parse_address((not again and env.get("RELAY_DISCOVERY")) or tree["discovery"]),
        counter=parse_address(counter) if counter else None,
        seed=int(tree["seed"], 16),
        memory_bytes=int(tree["limits"]["memory_mb"]) * MIB,
        max_descriptors=int(tree["limits"]["sockets"]),
        known_endpoints=listing_from_json(tree["known"], messages.ListMode.CACHED),
        settings=settings,
        connect_timeout=nanoseconds_to_seconds(limits["connect_timeout"]),
        idle_timeout=nanoseconds_to_seconds(limits["idle_close"]),
        max_in_flight=int(limits["max_open"]),
        shutdown_timeout=_shutdown_timeout(settings),
    )


def _shutdown_timeout(settings: messages.Settings) -> float:
    longest_deadline = max(service_class.deadline for service_class in settings.classes.values())
    return min(MAX_SHUTDOWN_DEADLINE_S, longest_deadline) + KILL_DELAY_S - KILL_MARGIN_S

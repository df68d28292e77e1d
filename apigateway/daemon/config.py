"""Build what a gateway runs with, a Config, from the platform's environment and JSON file."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from apigateway import messages
from apigateway.membership.listing import Listing, read_list
from apigateway.platform_settings import read_settings, seconds
from apigateway.upstream.address import Address, read_address

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


@dataclass(frozen=True, slots=True)
class Config:
    """What a gateway runs with; durations are in seconds."""

    name: str
    listen: Address
    discovery: Address | None
    counter: Address | None
    seed: int
    memory: int  # bytes past which the process is killed
    sockets: int  # file descriptors that the process may hold
    known: Listing  # the hosts as this gateway last had them; it may be old
    settings: messages.Settings
    connect_timeout: float
    idle_close: float  # hosts close a connection that has stood idle for this long
    max_open: int  # requests in work at once
    more: tuple[Address, ...] = ()  # further listeners
    grpc: frozenset[Address] = frozenset()  # those that speak gRPC; the others speak RESP2
    hosts_file: str | None = None  # in place of a discovery
    registry: RegistrySettings | None = None  # likewise
    trust: ReconcilerSettings | None = None  # what of a discovery's lists is believed; None: all
    span: int = 1  # gateways that clients know as one: workers on one address
    own: RegistrationSettings | None = None  # how this gateway registers itself
    overload: tuple[float, float] | None = None  # s: aim for the loop's lag, and most of one turn; None: off
    leave: tuple[str, ...] = ()  # zones to which nothing new goes, by the operator's word
    linger: float = 0.5  # s after SIGTERM in which connections still come
    finish: float = 3.4  # s after SIGTERM by which everything is answered


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
        listen=read_address(env.get("RELAY_LISTEN") or tree["listen"]),
        discovery=read_address((not again and env.get("RELAY_DISCOVERY")) or tree["discovery"]),
        counter=read_address(counter) if counter else None,
        seed=int(tree["seed"], 16),
        memory=int(tree["limits"]["memory_mb"]) * MIB,
        sockets=int(tree["limits"]["sockets"]),
        known=read_list(tree["known"], "cached"),
        settings=settings,
        connect_timeout=seconds(limits["connect_timeout"]),
        idle_close=seconds(limits["idle_close"]),
        max_open=int(limits["max_open"]),
        finish=_shutdown_time_limit(settings),
    )


def _shutdown_time_limit(settings: messages.Settings) -> float:
    longest_deadline = max(service_class.deadline for service_class in settings.classes.values())
    return min(MAX_SHUTDOWN_DEADLINE_S, longest_deadline) + KILL_DELAY_S - KILL_MARGIN_S

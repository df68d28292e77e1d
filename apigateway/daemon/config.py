"""What a real gateway is told: environment and JSON file to one checked Config."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from apigateway import messages
from apigateway.membership.listing import Listing, read_list
from apigateway.platform_settings import read_settings, seconds
from apigateway.upstream.address import Address, read_address

if TYPE_CHECKING:
    from apigateway.membership.eureka.registration import RegistrationSettings
    from apigateway.membership.eureka.source import RegistrySettings
    from apigateway.membership.reconciler import ReconcilerSettings


# s: the platform's SIGKILL comes no sooner after SIGTERM than the longest deadline, or LONGEST where that is
# less, and KILL more; by SPARE before that everything is answered
LONGEST, KILL, SPARE = 3.0, 0.7, 0.3


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class Config:
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
    """`again`: the file was replaced while the program runs, so the discovery that it names is newer than the
    one that the environment named at the start."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
        tree = told["settings"]
        limits = tree["limits"]
        settings = read_settings(tree)
        counter = told.get("counter")
        if settings.has_counter and not counter:
            raise ValueError("the settings allow a counter but no address is given")
        return Config(
            name=env.get("RELAY_NAME") or told["name"],
            listen=read_address(env.get("RELAY_LISTEN") or told["listen"]),
            discovery=read_address((not again and env.get("RELAY_DISCOVERY")) or told["discovery"]),
            counter=read_address(counter) if counter else None,
            seed=int(told["seed"], 16),
            memory=int(told["limits"]["memory_mb"]) * 1024 * 1024,
            sockets=int(told["limits"]["sockets"]),
            known=read_list(told["known"], "cached"),
            settings=settings,
            connect_timeout=seconds(limits["connect_timeout"]),
            idle_close=seconds(limits["idle_close"]),
            max_open=int(limits["max_open"]),
            finish=min(LONGEST, max(c.deadline for c in settings.classes.values())) + KILL - SPARE,
        )
    except KeyError as err:
        raise ConfigError(f"{path}: missing or unknown {err}") from err
    except (OSError, ValueError, TypeError, AttributeError) as err:
        raise ConfigError(f"{path}: {' '.join(str(err).split())}") from err

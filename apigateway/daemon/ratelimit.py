"""The rate limit service and the outer service as the daemon has them: built from settings beside the loop,
taken up whole on a reload. Imported only where settings have a listener that speaks gRPC, keys for tokens, or
an outer service; each of them loads what it needs and no more."""

from __future__ import annotations

import hashlib
import os
import ssl
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from apigateway.config_validation import ConfigProblem, InvalidConfigFileError
from apigateway.daemon.config import Config
from apigateway.daemon.settings import Settings
from apigateway.daemon.settings_runtime import compile_ratelimit_rules
from apigateway.frontends.grpc.mapping import Mapping
from apigateway.frontends.grpc.tokens import Keys, Redeemed, Tokens, rotated
from apigateway.upstream.address import Address, read_address

if TYPE_CHECKING:
    from apigateway.daemon.gateway_server import GatewayServer
    from apigateway.external_ratelimit.outer import Asked, Outer
    from apigateway.frontends.grpc.front import GrpcFront
    from apigateway.frontends.grpc.settings import RateLimitPart

MOST_KEY = 4096  # bytes of a file with a key for tokens
LEAST_KEY = 16


@dataclass(frozen=True, slots=True)
class Built:
    """What settings and the files that they name come to. `serves`: there is a listener for it."""

    part: RateLimitPart
    serves: bool
    mapping: Mapping
    keys: Keys | None
    context: ssl.SSLContext | None
    files: tuple[str, ...]  # digests of the files read
    asked: Asked | None


class Files:
    """Files that settings name, beside them. All that is wrong is told at once."""

    def __init__(self, path: str) -> None:
        self.path, self.folder = path, os.path.dirname(os.path.abspath(path))
        self.faults: list[ConfigProblem] = []
        self.digests: list[str] = []

    def fault(self, key: str, name: str, reason: str, remedy: str) -> None:
        self.faults.append(ConfigProblem(self.path, key, repr(name), reason, remedy))

    def read(self, key: str, name: str, most: int = 1024 * 1024) -> bytes | None:
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                data = file.read(most + 1)
        except OSError as err:
            self.fault(key, name, f"cannot be read ({err.strerror})", "check the path and its rights")
            return None
        if len(data) > most:
            self.fault(key, name, f"is longer than {most} bytes", "is it the right file?")
            return None
        self.digests.append(hashlib.sha256(data).hexdigest())
        return data

    def place(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def pair(self, context: ssl.SSLContext, at: str, cert: str, key: str) -> None:
        """A certificate with its key."""
        found = [self.read(f"{at}.{what}", name) for what, name in (("cert", cert), ("key", key))]
        if None in found:
            return
        try:
            context.load_cert_chain(self.place(cert), self.place(key), password=lambda: b"")
        except (ssl.SSLError, OSError, ValueError) as err:
            self.fault(
                f"{at}.cert",
                cert,
                f"is no certificate with the key {key!r} ({told(err)})",
                "give a PEM chain and its key without a password",
            )

    def authority(self, context: ssl.SSLContext, key: str, name: str) -> None:
        if self.read(key, name) is None:
            return
        try:
            context.load_verify_locations(self.place(name))
        except (ssl.SSLError, OSError) as err:
            self.fault(key, name, f"holds no certificates ({told(err)})", "give them as PEM")


def told(err: Exception) -> str:
    return str(getattr(err, "reason", "") or err.__class__.__name__).lower().replace("_", " ")


def wanted(settings: Settings) -> bool:
    return serves(settings) or bool(settings.ratelimit.token_keys or settings.ask.address)


def serves(settings: Settings) -> bool:
    return any(one.protocol == "grpc" for one in settings.listeners)


def build(path: str, settings: Settings, config: Config) -> Built | None:
    """None: settings want nothing of it. Reads files: to be called beside the loop. Raises
    InvalidConfigFileError."""
    if not wanted(settings):
        return None
    files, part, module = Files(path), settings.ratelimit, config.settings
    mapping = compile_ratelimit_rules(
        part, module.plans, module.classes, module.gateway_count, config.span
    )  # checked at load
    keys = read_keys(files, part.token_keys)
    context = server_context(files, part) if serves(settings) else None
    asked = to_asked(files, settings)
    if files.faults:
        raise InvalidConfigFileError(files.faults)
    return Built(part, serves(settings), mapping, keys, context, tuple(files.digests), asked)


def read_keys(files: Files, names: list[str]) -> Keys | None:
    found = []
    for number, name in enumerate(names):
        data = files.read(f"ratelimit.token_keys[{number}]", name, MOST_KEY)
        if data is not None and len(data.strip()) < LEAST_KEY:
            files.fault(
                f"ratelimit.token_keys[{number}]",
                name,
                f"holds less than {LEAST_KEY} bytes",
                "make one by: head -c 32 /dev/urandom | base64",
            )
        elif data is not None:
            found.append(data.strip())
    if len(found) < len(names) or not names:
        return None
    try:
        return Keys(found)
    except ValueError as err:
        files.fault("ratelimit.token_keys", ", ".join(names), str(err), "make another key")
        return None


def server_context(files: Files, part: RateLimitPart) -> ssl.SSLContext | None:
    """With `client_ca` clients have to show a certificate that it signed."""
    tls = part.tls
    if not tls.cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["h2"])
    files.pair(context, "ratelimit.tls", tls.cert, tls.key)
    if tls.client_ca:
        context.verify_mode = ssl.CERT_REQUIRED
        files.authority(context, "ratelimit.tls.client_ca", tls.client_ca)
    return context


def to_asked(files: Files, settings: Settings) -> Asked | None:
    part = settings.ask
    if not part.address:
        return None
    from apigateway.external_ratelimit.choice import Terms
    from apigateway.external_ratelimit.outer import Asked

    context, before = None, len(files.digests)
    if part.tls.on:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(["h2"])
        if part.tls.ca:
            files.authority(context, "ask.tls.ca", part.tls.ca)
        else:
            context.load_default_certs()
        if part.tls.cert:
            files.pair(context, "ask.tls", part.tls.cert, part.tls.key)
    entries = tuple((key, value) for key, _, value in (entry.partition("=") for entry in part.entries))
    terms = Terms(
        frozenset(part.plans),
        frozenset(part.classes),
        part.timeout,
        part.share,
        part.failing,
        part.failures,
        part.rest,
        part.most_rest,
        part.trials,
        part.steady,
        part.max_waiting,
    )
    return Asked(
        read_address(part.address),
        terms,
        part.domain,
        entries,
        part.batch,
        part.tls.name,
        context,
        ("on" if part.tls.on else "", *files.digests[before:]),
    )


def compared(old: Built | None, new: Built | None) -> str:
    """What a reload read anew, for the log; empty: nothing."""
    if old is None or new is None or old.files == new.files:
        return ""
    told = "certificates or keys are read anew"
    if old.keys is not None and new.keys is not None:
        what = rotated(old.keys, new.keys)
        told += ", tokens are signed by another key" if what["signs anew"] else ""
        told += "" if what["old ones hold"] else ", those given before hold no more"
    return told


class RateLimits:
    """What a gateway has of it, once `take_up` was called. That goes over to what a reload built, in one step
    that cannot fail."""

    def __init__(self, node: GatewayServer, built: Built) -> None:
        self.node, self.built = node, built
        self.tokens: Tokens | None = None
        self.outer: Outer | None = None
        self.fronts: list[Served] = []

    def take_up(self, built: Built | None) -> None:
        """None: settings want nothing of it any more."""
        node = self.node
        if built is None:
            self.tokens = node.core.external_ratelimit = None
            for front in node.frontends:
                front.take_tokens(None)
            self.close()
            self.outer = None
            return
        self.built, part, settings = built, built.part, node.config.settings
        if built.keys is None:
            self.tokens = None
        elif self.tokens is None:
            used = Redeemed(settings.gateway_index, node.config.span, part.max_tokens)
            self.tokens = Tokens(built.keys, used, part.token_time, time.time, os.urandom)
        else:  # what was used is remembered past a rotation
            self.tokens.keys, self.tokens.seconds = built.keys, part.token_time
            self.tokens.redeemed.most = part.max_tokens
        for front in node.frontends:
            front.take_tokens(self.tokens)
        for served in self.fronts:
            served.take_up(built, self.tokens)
        if built.asked is None:
            if self.outer is not None:
                self.outer.close()
            self.outer = None
        elif self.outer is None:
            from apigateway.external_ratelimit.outer import Outer

            self.outer = Outer(built.asked, node.config.name)
        else:
            self.outer.set(built.asked)
        node.core.external_ratelimit = self.outer

    def front(self, address: Address, most: int, most_partial: int, built: Built) -> GrpcFront:
        """A new one, by `built`, which may not be in force yet."""
        served = Served(self.node, address, most, most_partial)
        served.take_up(built, self.tokens)
        self.fronts.append(served)
        return served.front

    def left(self, front: object) -> None:
        self.fronts = [served for served in self.fronts if served.front is not front]

    def told(self) -> dict[str, Any]:
        """For `api-gateway ratelimit status`."""
        return {
            "listeners": [served.told() for served in self.fronts],
            "tokens": dict(self.tokens.counts) if self.tokens is not None else None,
            "outer": self.outer.told() if self.outer is not None else None,
        }

    def close(self) -> None:
        if self.outer is not None:
            self.outer.close()


class Served:
    """One listener with its services."""

    def __init__(self, node: GatewayServer, address: Address, most: int, most_partial: int) -> None:
        from apigateway.frontends.grpc.front import GrpcFront
        from apigateway.frontends.grpc.health import Health
        from apigateway.frontends.grpc.mapping import Mapping
        from apigateway.frontends.grpc.reflection import Reflection
        from apigateway.frontends.grpc.service import METHOD, NAME, RateLimit, Terms

        self.node, core = node, node.core
        self.front = GrpcFront(core, address, most, most_partial)
        self.service = RateLimit(core, self.front, Terms(Mapping([], (), (), 1)))
        front = self.front
        self.health = Health((NAME,), lambda: core.is_ready and not core.is_draining and not front.ended)
        front.ending = self.health.changed
        reflection = Reflection((NAME, "grpc.health.v1.Health"))
        front.use(
            {METHOD: self.service.call, **self.health.methods()},
            {**self.health.streams(), **reflection.streams()},
        )

    def take_up(self, built: Built, tokens: Tokens | None) -> None:
        from apigateway.frontends.grpc.service import Terms

        part = built.part
        self.service.terms = Terms(
            built.mapping, part.patience, part.unmapped, part.override, part.max_descriptors, tokens
        )
        self.front.context = built.context

    def told(self) -> dict[str, Any]:
        front = self.front
        return {
            "address": f"{front.address[0]}:{front.port}",
            "tls": front.context is not None,
            "connections": len(front.connections),
            "handshakes failed": front.shaken,
            "answers": dict(self.service.counts),
        }

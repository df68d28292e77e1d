"""Build what the rate limit services run with, from the settings and the files that they name.

Certificates, keys and rules are read and checked here, on another thread than the event loop's. Imported only
where settings want such services.
"""

from __future__ import annotations

import hashlib
import os
import ssl
from dataclasses import dataclass
from typing import TYPE_CHECKING

from apigateway.config_validation import ConfigProblem, InvalidConfigFileError
from apigateway.daemon.config import Config
from apigateway.daemon.settings import Settings
from apigateway.daemon.settings_runtime import compile_ratelimit_rules, has_grpc_listener, wants_ratelimit
from apigateway.frontends.grpc.mapping import DescriptorMapping
from apigateway.frontends.grpc.tokens import TokenKeys
from apigateway.upstream.address import parse_address

if TYPE_CHECKING:
    from apigateway.external_ratelimit.circuit_breaker import CheckSettings
    from apigateway.external_ratelimit.service_config import ExternalServiceConfig
    from apigateway.external_ratelimit.settings import ExternalRateLimitSection
    from apigateway.frontends.grpc.settings import RateLimitSection

# Bytes of a file with a certificate.
MAX_FILE_BYTES = 1024 * 1024
# Bytes of a file with a key for tokens.
MAX_KEY_BYTES = 4096
MIN_KEY_BYTES = 16
HTTP2_PROTOCOLS = ["h2"]


@dataclass(frozen=True, slots=True)
class RateLimitConfig:
    """What rate limit services run with.

    Attributes:
        section: The settings' table.
        has_listener: Whether there is a listener of the service.
        mapping: Of a check's descriptors to a customer, plan and class.
        token_keys: None: no tokens are given.
        tls_context: Of the listeners; None: they speak plain text.
        file_digests: Of all files that were read.
        external_service: Whom to ask; None: nobody.
    """

    section: RateLimitSection
    has_listener: bool
    mapping: DescriptorMapping
    token_keys: TokenKeys | None
    tls_context: ssl.SSLContext | None
    file_digests: tuple[str, ...]
    external_service: ExternalServiceConfig | None


def build_ratelimit_config(path: str, settings: Settings, config: Config) -> RateLimitConfig | None:
    """Return what the settings and their files come to; None: they want no rate limit service.

    Args:
        path: Of the settings file; the other files are named relative to its folder.
        settings: As checked.
        config: Built from them.

    Raises:
        InvalidConfigFileError: With all that is wrong in the files.
    """
    if not wants_ratelimit(settings):
        return None
    files = SettingsFiles(path)
    section = settings.ratelimit
    module_settings = config.settings
    has_listener = has_grpc_listener(settings)
    mapping = compile_ratelimit_rules(  # which were checked with the settings
        section,
        module_settings.plans,
        module_settings.classes,
        module_settings.gateway_count,
        config.gateways_at_address,
    )
    token_keys = _read_token_keys(files, section.token_keys)
    tls_context = _create_server_context(files, section) if has_listener else None
    external_service = _build_external_service(files, settings.ask)
    if files.problems:
        raise InvalidConfigFileError(files.problems)
    return RateLimitConfig(
        section, has_listener, mapping, token_keys, tls_context, tuple(files.digests), external_service
    )


def describe_file_changes(old: RateLimitConfig | None, new: RateLimitConfig | None) -> str:
    """Say for the log which files a reload has read with another content; empty: none."""
    if old is None or new is None or old.file_digests == new.file_digests:
        return ""
    text = "certificates or keys are read anew"
    if old.token_keys is not None and new.token_keys is not None:
        rotation = old.token_keys.compare(new.token_keys)
        if rotation.is_signing_key_new:
            text += ", tokens are signed by another key"
        if not rotation.are_old_tokens_valid:
            text += ", those given before hold no more"
    return text


class SettingsFiles:
    """Reads files that settings name, and collects all that is wrong with them.

    Attributes:
        problems: So far.
        digests: Of the files read so far.
    """

    def __init__(self, path: str) -> None:
        self.problems: list[ConfigProblem] = []
        self.digests: list[str] = []
        self._path = path
        self._folder = os.path.dirname(os.path.abspath(path))

    def add_problem(self, key: str, name: str, reason: str, remedy: str) -> None:
        """Add a problem with the file that a settings key names."""
        self.problems.append(ConfigProblem(self._path, key, repr(name), reason, remedy))

    def read(self, key: str, name: str, max_bytes: int = MAX_FILE_BYTES) -> bytes | None:
        """Return a file's content; None: there is a problem with it."""
        try:
            with open(self._absolute(name), "rb") as file:
                data = file.read(max_bytes + 1)
        except OSError as err:
            self.add_problem(key, name, f"cannot be read ({err.strerror})", "check the path and its rights")
            return None
        if len(data) > max_bytes:
            self.add_problem(key, name, f"is longer than {max_bytes} bytes", "is it the right file?")
            return None
        self.digests.append(hashlib.sha256(data).hexdigest())
        return data

    def load_certificate(self, context: ssl.SSLContext, table: str, cert: str, key: str) -> None:
        """Load a certificate with its key, named by `cert` and `key` of a settings table."""
        contents = [self.read(f"{table}.cert", cert), self.read(f"{table}.key", key)]
        if None in contents:
            return
        try:
            context.load_cert_chain(self._absolute(cert), self._absolute(key), password=lambda: b"")
        except (ssl.SSLError, OSError, ValueError) as err:
            self.add_problem(
                f"{table}.cert",
                cert,
                f"is no certificate with the key {key!r} ({_reason_of(err)})",
                "give a PEM chain and its key without a password",
            )

    def load_authorities(self, context: ssl.SSLContext, key: str, name: str) -> None:
        """Load the certificates that sign those of the other side."""
        if self.read(key, name) is None:
            return
        try:
            context.load_verify_locations(self._absolute(name))
        except (ssl.SSLError, OSError) as err:
            self.add_problem(key, name, f"holds no certificates ({_reason_of(err)})", "give them as PEM")

    def _absolute(self, name: str) -> str:
        return os.path.join(self._folder, name)


def _reason_of(err: Exception) -> str:
    return str(getattr(err, "reason", "") or err.__class__.__name__).lower().replace("_", " ")


def _read_token_keys(files: SettingsFiles, names: list[str]) -> TokenKeys | None:
    found = []
    for number, name in enumerate(names):
        settings_key = f"ratelimit.token_keys[{number}]"
        data = files.read(settings_key, name, MAX_KEY_BYTES)
        if data is None:
            continue
        token_key = data.strip()
        if len(token_key) < MIN_KEY_BYTES:
            files.add_problem(
                settings_key,
                name,
                f"holds less than {MIN_KEY_BYTES} bytes",
                "make one by: head -c 32 /dev/urandom | base64",
            )
        else:
            found.append(token_key)
    if len(found) < len(names) or not names:
        return None
    try:
        return TokenKeys(found)
    except ValueError as err:
        files.add_problem("ratelimit.token_keys", ", ".join(names), str(err), "make another key")
        return None


def _create_server_context(files: SettingsFiles, section: RateLimitSection) -> ssl.SSLContext | None:
    """Return the listeners' TLS; with `client_ca` clients have to show a certificate that it signed."""
    tls = section.tls
    if not tls.cert:
        return None
    context = _create_context(ssl.PROTOCOL_TLS_SERVER)
    files.load_certificate(context, "ratelimit.tls", tls.cert, tls.key)
    if tls.client_ca:
        context.verify_mode = ssl.CERT_REQUIRED
        files.load_authorities(context, "ratelimit.tls.client_ca", tls.client_ca)
    return context


def _create_client_context(files: SettingsFiles, section: ExternalRateLimitSection) -> ssl.SSLContext | None:
    tls = section.tls
    if not tls.on:
        return None
    context = _create_context(ssl.PROTOCOL_TLS_CLIENT)
    if tls.ca:
        files.load_authorities(context, "ask.tls.ca", tls.ca)
    else:
        context.load_default_certs()
    if tls.cert:
        files.load_certificate(context, "ask.tls", tls.cert, tls.key)
    return context


def _create_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(HTTP2_PROTOCOLS)
    return context


def _build_external_service(
    files: SettingsFiles, section: ExternalRateLimitSection
) -> ExternalServiceConfig | None:
    if not section.address:
        return None
    from apigateway.external_ratelimit.service_config import (
        ExternalServiceConfig,  # loaded only where it is used
    )

    digest_count = len(files.digests)
    context = _create_client_context(files, section)
    entries = []
    for entry in section.entries:
        key, _, value = entry.partition("=")
        entries.append((key, value))
    return ExternalServiceConfig(
        parse_address(section.address),
        _build_check_settings(section),
        section.domain,
        tuple(entries),
        section.batch,
        section.tls.name,
        context,
        ("on" if section.tls.on else "", *files.digests[digest_count:]),
    )


def _build_check_settings(section: ExternalRateLimitSection) -> CheckSettings:
    from apigateway.external_ratelimit.circuit_breaker import CheckSettings, FailureMode

    return CheckSettings(
        frozenset(section.plans),
        frozenset(section.classes),
        section.timeout,
        section.share,
        FailureMode(section.failing),
        section.failures,
        section.rest,
        section.most_rest,
        section.trials,
        section.steady,
        section.max_waiting,
    )

"""Build the configuration of the rate limit services from the settings and the files that they name.

Certificates, keys and rules are read and checked here, on another thread than the event loop's. Imported only
if the settings configure such services.
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
from apigateway.daemon.settings_runtime import compile_ratelimit_rules, has_grpc_listener, has_ratelimit
from apigateway.frontends.grpc.mapping import DescriptorMapping
from apigateway.frontends.grpc.tokens import TokenKeys
from apigateway.upstream.address import parse_address

if TYPE_CHECKING:
    from apigateway.external_ratelimit.circuit_breaker import CheckSettings
    from apigateway.external_ratelimit.service_config import ExternalServiceConfig
    from apigateway.external_ratelimit.settings import ExternalRateLimitSection
    from apigateway.frontends.grpc.settings import RateLimitSection

# Size limit of a certificate file.
MAX_FILE_BYTES = 1024 * 1024
# Size limit of a file with a token key.
MAX_KEY_BYTES = 4096
MIN_KEY_BYTES = 16
ALPN_PROTOCOLS = ["h2"]


@dataclass(frozen=True, slots=True)
class RateLimitConfig:
    """The configuration of the rate limit services.

    Attributes:
        section: The table [ratelimit] of the settings.
        has_listener: Whether there is a gRPC listener.
        mapping: Mapping from the descriptors of a check to a customer, plan and class.
        token_keys: Keys that sign quota tokens; None if no tokens are issued.
        tls_context: TLS context of the listeners; None for plain text.
        file_digests: Digests of all files that were read.
        external_service: Configuration of the external rate limit service; None if there is none.
    """

    section: RateLimitSection
    has_listener: bool
    mapping: DescriptorMapping
    token_keys: TokenKeys | None
    tls_context: ssl.SSLContext | None
    file_digests: tuple[str, ...]
    external_service: ExternalServiceConfig | None


def build_ratelimit_config(path: str, settings: Settings, config: Config) -> RateLimitConfig | None:
    """Return the configuration of the rate limit services; None if none are configured.

    Args:
        path: Path of the settings file; the other files are named relative to its folder.
        settings: The checked settings.
        config: The runtime configuration built from them.

    Raises:
        InvalidConfigFileError: There are problems in the files; lists all of them.
    """
    if not has_ratelimit(settings):
        return None
    files = SettingsFiles(path)
    section = settings.ratelimit
    module_settings = config.settings
    has_listener = has_grpc_listener(settings)
    mapping = compile_ratelimit_rules(  # the rules were checked together with the settings
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
    """Return a log text about files whose content a reload found changed; empty if there are none."""
    if old is None or new is None or old.file_digests == new.file_digests:
        return ""
    text = "certificates or keys reloaded"
    if old.token_keys is not None and new.token_keys is not None:
        rotation = old.token_keys.compare(new.token_keys)
        if rotation.is_signing_key_new:
            text += ", tokens are signed with another key"
        if not rotation.are_old_tokens_valid:
            text += ", tokens issued before are no longer valid"
    return text


class SettingsFiles:
    """Reads the files named in the settings, and collects the problems with them.

    Attributes:
        problems: Problems found so far.
        digests: Digests of the files read so far.
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
        """Return a file's content; None after adding a problem if it cannot be used."""
        try:
            with open(self._absolute_path(name), "rb") as file:
                data = file.read(max_bytes + 1)
        except OSError as err:
            self.add_problem(
                key, name, f"cannot be read ({err.strerror})", "check the path and its permissions"
            )
            return None
        if len(data) > max_bytes:
            self.add_problem(
                key, name, f"is larger than {max_bytes} bytes", "check that it is the intended file"
            )
            return None
        self.digests.append(hashlib.sha256(data).hexdigest())
        return data

    def load_certificate(self, context: ssl.SSLContext, table: str, cert: str, key: str) -> None:
        """Load a certificate with its key, named by `cert` and `key` of a settings table."""
        contents = [self.read(f"{table}.cert", cert), self.read(f"{table}.key", key)]
        if None in contents:
            return
        try:
            context.load_cert_chain(self._absolute_path(cert), self._absolute_path(key), password=lambda: b"")
        except (ssl.SSLError, OSError, ValueError) as err:
            self.add_problem(
                f"{table}.cert",
                cert,
                f"is not a certificate for the key {key!r} ({_ssl_error_reason(err)})",
                "use a PEM certificate chain, and its key without a password",
            )

    def load_authorities(self, context: ssl.SSLContext, key: str, name: str) -> None:
        """Load the certificate authorities that sign the peers' certificates."""
        if self.read(key, name) is None:
            return
        try:
            context.load_verify_locations(self._absolute_path(name))
        except (ssl.SSLError, OSError) as err:
            self.add_problem(
                key, name, f"contains no certificates ({_ssl_error_reason(err)})", "use PEM certificates"
            )

    def _absolute_path(self, name: str) -> str:
        return os.path.join(self._folder, name)


def _ssl_error_reason(err: Exception) -> str:
    return str(getattr(err, "reason", "") or err.__class__.__name__).lower().replace("_", " ")


def _read_token_keys(files: SettingsFiles, names: list[str]) -> TokenKeys | None:
    keys = []
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
                f"contains less than {MIN_KEY_BYTES} bytes",
                "create a key with: head -c 32 /dev/urandom | base64",
            )
        else:
            keys.append(token_key)
    if len(keys) < len(names) or not names:
        return None
    try:
        return TokenKeys(keys)
    except ValueError as err:
        files.add_problem("ratelimit.token_keys", ", ".join(names), str(err), "create another key")
        return None


def _create_server_context(files: SettingsFiles, section: RateLimitSection) -> ssl.SSLContext | None:
    """Return the listeners' TLS context; with `client_ca`, clients need a certificate signed by it."""
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
    context.set_alpn_protocols(ALPN_PROTOCOLS)
    return context


def _build_external_service(
    files: SettingsFiles, section: ExternalRateLimitSection
) -> ExternalServiceConfig | None:
    if not section.address:
        return None
    from apigateway.external_ratelimit.service_config import ExternalServiceConfig  # imported only if used

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

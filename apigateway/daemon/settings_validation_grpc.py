"""Check the settings of the rate limit service, [ratelimit], and of the external one, [ask]."""

from __future__ import annotations

import msgspec

from apigateway.config_validation import ConfigReader
from apigateway.daemon.settings_runtime import compile_ratelimit_rules
from apigateway.daemon.settings_schema import Settings
from apigateway.daemon.settings_validation_address import check_address
from apigateway.external_ratelimit.settings import ClientTlsSection
from apigateway.frontends.grpc.mapping import PLACEHOLDER, InvalidRuleError
from apigateway.frontends.grpc.settings import ServerTlsSection

# Fields of a request that ask.entries may refer to.
ASK_ENTRY_FIELDS = ("customer", "plan", "class", "units", "gateway")


def check_ratelimit(reader: ConfigReader, settings: Settings) -> None:
    """Add all contradictions in [ratelimit] to the reader's problems."""
    section = settings.ratelimit
    grpc_listeners = [
        number for number, listener in enumerate(settings.listeners) if listener.protocol == "grpc"
    ]
    if grpc_listeners and not section.rules:
        reader.add_semantic_problem(
            ("listeners", grpc_listeners[0], "protocol"),
            "grpc",
            "there are no rules to assign checks to customers",
            "add [[ratelimit.rules]] with domain, entries, customer, plan and class",
        )
    _check_ratelimit_rules(reader, settings)
    _check_ratelimit_tls(reader, section.tls)


def _check_ratelimit_rules(reader: ConfigReader, settings: Settings) -> None:
    section = settings.ratelimit
    try:
        compile_ratelimit_rules(section, settings.plans, settings.classes, settings.gateway.gateways)
    except InvalidRuleError as err:
        number = err.args[1]
        rule = msgspec.to_builtins(section.rules[number])
        reader.add_semantic_problem(
            ("ratelimit", "rules", number, err.key),
            rule[err.key],
            str(err.args[0]),
            "correct the rule, see docs/operate/ratelimit.md",
        )
    for number, rule in enumerate(section.rules):
        if rule.token and not section.token_keys:
            reader.add_semantic_problem(
                ("ratelimit", "rules", number, "token"),
                True,
                "there is no key to sign tokens with",
                "list key files in ratelimit.token_keys",
            )


def _check_ratelimit_tls(reader: ConfigReader, tls: ServerTlsSection) -> None:
    if bool(tls.cert) != bool(tls.key):
        missing = "key" if tls.cert else "cert"
        reader.add_semantic_problem(
            ("ratelimit", "tls", missing), "", "a certificate and its key must both be set", "set both files"
        )
    elif tls.client_ca and not tls.cert:
        reader.add_semantic_problem(
            ("ratelimit", "tls", "client_ca"),
            tls.client_ca,
            "client certificates need TLS",
            "set cert and key",
        )


def check_external_ratelimit(reader: ConfigReader, settings: Settings) -> None:
    """Add all contradictions in [ask] to the reader's problems."""
    section = settings.ask
    if section.address:
        check_address(reader, ("ask", "address"), section.address)
        if not (section.plans or section.classes):
            reader.add_semantic_problem(
                ("ask", "plans"), None, "no plans or classes are set", "set plans or classes"
            )
    _check_ask_scope(reader, settings)
    _check_ask_entries(reader, section.entries)
    if section.most_rest < section.rest:
        reader.add_semantic_problem(
            ("ask", "most_rest"),
            section.most_rest,
            f"is less than rest = {section.rest}",
            "increase it to at least that",
        )
    _check_ask_tls(reader, section.tls)


def _check_ask_scope(reader: ConfigReader, settings: Settings) -> None:
    for key, known in (("plans", settings.plans), ("classes", settings.classes)):
        for name in getattr(settings.ask, key):
            if name not in known:
                reader.add_semantic_problem(
                    ("ask", key),
                    name,
                    f"is not defined in [{key}]",
                    f"known: {', '.join(known) or 'none'}",
                )


def _check_ask_entries(reader: ConfigReader, entries: list[str]) -> None:
    for entry in entries:
        unknown = [
            name for name in PLACEHOLDER.findall(entry.partition("=")[2]) if name not in ASK_ENTRY_FIELDS
        ]
        if unknown:
            reader.add_semantic_problem(
                ("ask", "entries"),
                entry,
                f"{{{unknown[0]}}} is not a field of a request",
                f"known: {', '.join(ASK_ENTRY_FIELDS)}",
            )


def _check_ask_tls(reader: ConfigReader, tls: ClientTlsSection) -> None:
    if not tls.on and (tls.ca or tls.cert or tls.key or tls.name):
        reader.add_semantic_problem(
            ("ask", "tls", "on"), False, "the other keys of ask.tls have no effect", "set on = true"
        )
    elif bool(tls.cert) != bool(tls.key):
        missing = "key" if tls.cert else "cert"
        reader.add_semantic_problem(
            ("ask", "tls", missing), "", "a certificate and its key must both be set", "set both files"
        )

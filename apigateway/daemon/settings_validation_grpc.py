"""Check the settings of the gRPC services: our rate limit service, [ratelimit], and an outer one, [ask]."""

from __future__ import annotations

import msgspec

from apigateway.config_validation import ConfigReader
from apigateway.daemon.settings_runtime import compile_ratelimit_rules
from apigateway.daemon.settings_schema import Settings
from apigateway.daemon.settings_validation_address import check_address
from apigateway.external_ratelimit.settings import ClientTlsSection
from apigateway.frontends.grpc.mapping import PLACEHOLDER, InvalidRuleError
from apigateway.frontends.grpc.settings import ServerTlsSection

# Fields of a request that ask.entries may use.
ASK_ENTRY_FIELDS = ("customer", "plan", "class", "units", "gateway")


def check_ratelimit(reader: ConfigReader, settings: Settings) -> None:
    """Add what contradicts itself in [ratelimit] to the reader's problems."""
    section = settings.ratelimit
    grpc_listeners = [n for n, listener in enumerate(settings.listeners) if listener.protocol == "grpc"]
    if grpc_listeners and not section.rules:
        reader.add_semantic_problem(
            ("listeners", grpc_listeners[0], "protocol"),
            "grpc",
            "no rule says whose a check is",
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
            "mend the rule: docs/operate/ratelimit.md",
        )
    for number, rule in enumerate(section.rules):
        if rule.token and not section.token_keys:
            reader.add_semantic_problem(
                ("ratelimit", "rules", number, "token"),
                True,
                "there is no key to sign tokens with",
                "name files with keys in ratelimit.token_keys",
            )


def _check_ratelimit_tls(reader: ConfigReader, tls: ServerTlsSection) -> None:
    if bool(tls.cert) != bool(tls.key):
        missing = "key" if tls.cert else "cert"
        reader.add_semantic_problem(
            ("ratelimit", "tls", missing), "", "a certificate and its key go together", "name both files"
        )
    elif tls.client_ca and not tls.cert:
        reader.add_semantic_problem(
            ("ratelimit", "tls", "client_ca"),
            tls.client_ca,
            "without TLS no client shows a certificate",
            "name cert and key",
        )


def check_external_ratelimit(reader: ConfigReader, settings: Settings) -> None:
    """Add what contradicts itself in [ask] to the reader's problems."""
    section = settings.ask
    if section.address:
        check_address(reader, ("ask", "address"), section.address)
        if not (section.plans or section.classes):
            reader.add_semantic_problem(
                ("ask", "plans"), None, "nothing is asked about", "name plans or classes"
            )
    _check_ask_scope(reader, settings)
    _check_ask_entries(reader, section.entries)
    if section.most_rest < section.rest:
        reader.add_semantic_problem(
            ("ask", "most_rest"),
            section.most_rest,
            f"is shorter than rest = {section.rest}",
            "let it be longer",
        )
    _check_ask_tls(reader, section.tls)


def _check_ask_scope(reader: ConfigReader, settings: Settings) -> None:
    for key, known in (("plans", settings.plans), ("classes", settings.classes)):
        for name in getattr(settings.ask, key):
            if name not in known:
                reader.add_semantic_problem(
                    ("ask", key),
                    name,
                    f"there is no such one of [{key}]",
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
                f"{{{unknown[0]}}} is nothing of a request",
                f"known: {', '.join(ASK_ENTRY_FIELDS)}",
            )


def _check_ask_tls(reader: ConfigReader, tls: ClientTlsSection) -> None:
    if not tls.on and (tls.ca or tls.cert or tls.key or tls.name):
        reader.add_semantic_problem(
            ("ask", "tls", "on"), False, "the other keys of ask.tls are for nothing", "set on = true"
        )
    elif bool(tls.cert) != bool(tls.key):
        missing = "key" if tls.cert else "cert"
        reader.add_semantic_problem(
            ("ask", "tls", missing), "", "a certificate and its key go together", "name both files"
        )

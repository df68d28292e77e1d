"""Whose quota a descriptor counts against: rules from the settings, compiled when they are loaded. Pure.

A descriptor is a list of (key, value) entries in a domain
(envoy/extensions/common/ratelimit/v3/ratelimit.proto). A rule names a domain and some entries; it matches
where each of them is found, in whatever order, and the descriptor may have more. Of the rules that match the
longest goes: most entries, then most characters that are no wildcard, then the first in the file.
"""

from __future__ import annotations

import fnmatch
import hashlib
import math
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

Entries = Sequence[tuple[str, str]]

ANY_DOMAIN = "*"
# Customer numbers are below it.
MAX_CUSTOMERS = 2**33
# Entries of a descriptor.
MAX_ENTRIES = 32
# Characters of an entry's value.
MAX_VALUE_LENGTH = 1024
# {KEY}: the value of that entry.
PLACEHOLDER = re.compile(r"\{([^{}]*)\}")

_CUSTOMER = re.compile(r"[0-9a-f]{16}")
_CUSTOMER_BYTES = 8
_WILDCARDS = "*?"


class InvalidRuleError(ValueError):
    """A rule cannot be used. `args[1]`, where `DescriptorMapping` raised it, is the rule's index.

    Attributes:
        key: Which of its settings is wrong.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(reason)
        self.key = key


@dataclass(frozen=True, slots=True)
class MappingRule:
    """A rule as settings have it.

    Attributes:
        domain: Which it is for; `*` for any.
        entries: `KEY=VALUE`, with `*` and `?` in the value, or `KEY` for any.
        customer: Sixteen hex digits; may take the value of an entry, `{KEY}`.
        plan: Likewise.
        service_class: The class of its checks.
        units_per_hit: What one hit is worth.
        first_gateway: The first gateway that serves its customers.
        gateway_spread: How many do.
        hashes_names: A customer that is not sixteen hex digits becomes some, by its hash.
        issues_token: What is granted comes with a token (tokens.py).
    """

    domain: str
    entries: tuple[str, ...]
    customer: str
    plan: str
    service_class: str
    units_per_hit: float = 1.0
    first_gateway: int = 0
    gateway_spread: int = 1
    hashes_names: bool = False
    issues_token: bool = False


@dataclass(frozen=True, slots=True)
class QuotaOwner:
    """Whose quota a descriptor counts against, and how."""

    customer: str
    plan: str
    service_class: str
    units_per_hit: float
    first_gateway: int
    gateway_spread: int
    issues_token: bool = False


class DescriptorMapping:
    """All rules, compiled.

    Args:
        rules: The rules, in the order of the file.
        plans: Names of all plans.
        classes: Names of all service classes.
        gateway_count: How many gateways there are.

    Raises:
        InvalidRuleError: A rule cannot be used.
    """

    def __init__(
        self,
        rules: Sequence[MappingRule],
        plans: Iterable[str],
        classes: Iterable[str],
        gateway_count: int,
    ) -> None:
        known_plans = frozenset(plans)
        known_classes = frozenset(classes)
        self._rules_by_domain: dict[str, list[_CompiledRule]] = {}
        for index, rule in enumerate(rules):
            try:
                _check_rule(rule, known_plans, known_classes, gateway_count)
                compiled = _CompiledRule(rule, index, known_plans)
            except InvalidRuleError as error:
                error.args = (*error.args, index)
                raise
            self._rules_by_domain.setdefault(rule.domain, []).append(compiled)
        for compiled_rules in self._rules_by_domain.values():
            compiled_rules.sort(key=lambda one: one.sort_key)

    def find_owner(self, domain: str, entries: Entries) -> QuotaOwner | None:
        """Return whose quota a descriptor counts against, by the longest rule that matches, if one does.

        Rules for any domain are looked at where the domain's own have no match.
        """
        if len(entries) > MAX_ENTRIES or any(len(value) > MAX_VALUE_LENGTH for _, value in entries):
            return None
        values: dict[str, str] = {}
        for key, value in entries:
            values.setdefault(key, value)  # a key twice: the first stands
        for name in (domain, ANY_DOMAIN):
            for rule in self._rules_by_domain.get(name, ()):
                owner = rule.find_owner(domain, values)
                if owner is not None:
                    return owner
        return None


class _CompiledRule:
    """A rule that was checked.

    Attributes:
        sort_key: Puts the longest first.
    """

    def __init__(self, rule: MappingRule, index: int, plans: frozenset[str]) -> None:
        self._rule = rule
        self._plans = plans
        self._patterns: list[tuple[str, re.Pattern[str] | None]] = []  # by key; None: any value
        literal_count = 0
        for entry in rule.entries:
            key, sign, value = entry.partition("=")
            is_any_value = not sign or value == "*"
            self._patterns.append((key, None if is_any_value else re.compile(fnmatch.translate(value))))
            literal_count += sum(character not in _WILDCARDS for character in value)
        self.sort_key = (-len(rule.entries), -literal_count, index)

    def find_owner(self, domain: str, values: dict[str, str]) -> QuotaOwner | None:
        """Return the owner; None: the rule does not match, or yields no valid customer or plan."""
        for key, pattern in self._patterns:
            if key not in values or (pattern is not None and not pattern.fullmatch(values[key])):
                return None
        rule = self._rule
        customer = _fill_placeholders(rule.customer, values)
        plan = _fill_placeholders(rule.plan, values)
        if not is_customer(customer.lower()):
            if not rule.hashes_names or not customer:
                return None
            customer = hash_customer(domain, customer)
        if plan not in self._plans:
            return None
        return QuotaOwner(
            customer.lower(),
            plan,
            rule.service_class,
            rule.units_per_hit,
            rule.first_gateway,
            rule.gateway_spread,
            rule.issues_token,
        )


def hash_customer(domain: str, name: str) -> str:
    """Return a customer's sixteen hex digits for a name: the same at all gateways."""
    digest = hashlib.blake2b(f"{domain}\x1f{name}".encode(), digest_size=_CUSTOMER_BYTES).digest()
    return f"{int.from_bytes(digest, 'big') % MAX_CUSTOMERS:016x}"


def is_customer(text: str) -> bool:
    """Tell whether a text is a customer: sixteen hex digits, in lower case, of a number that there may be."""
    return bool(_CUSTOMER.fullmatch(text)) and int(text, 16) < MAX_CUSTOMERS


def _fill_placeholders(text: str, values: dict[str, str]) -> str:
    value = values.get(text[1:-1]) if text[:1] == "{" else None
    if value is not None and text[-1:] == "}":  # the usual case
        return value
    return PLACEHOLDER.sub(lambda found: values[found[1]], text)


def _check_rule(
    rule: MappingRule, plans: frozenset[str], classes: frozenset[str], gateway_count: int
) -> None:
    """Raise InvalidRuleError for the first of a rule's settings that is wrong."""
    keys = _entry_keys(rule)
    _check_placeholders("customer", rule.customer, keys)
    _check_placeholders("plan", rule.plan, keys)
    if not PLACEHOLDER.search(rule.customer) and not rule.hashes_names and not is_customer(rule.customer):
        raise InvalidRuleError("customer", f"{rule.customer!r} is not 16 hex digits below 2^33")
    if not PLACEHOLDER.search(rule.plan) and rule.plan not in plans:
        raise InvalidRuleError("plan", f"no plan {rule.plan!r}")
    if rule.service_class not in classes:
        raise InvalidRuleError("class", f"no class {rule.service_class!r}")
    if not 0 < rule.units_per_hit < math.inf:
        raise InvalidRuleError("units", "no number above 0")
    if not (0 <= rule.first_gateway < gateway_count and 1 <= rule.gateway_spread <= gateway_count):
        raise InvalidRuleError("spread", f"outside the {gateway_count} gateways")


def _entry_keys(rule: MappingRule) -> list[str]:
    """Return the keys of a rule's entries. Raises InvalidRuleError."""
    keys = []
    for entry in rule.entries:
        key = entry.partition("=")[0]
        if not key:
            raise InvalidRuleError("entries", f"{entry!r} names no key")
        keys.append(key)
    if len(set(keys)) < len(keys):
        raise InvalidRuleError("entries", "a key twice")
    return keys


def _check_placeholders(setting: str, text: str, keys: list[str]) -> None:
    """Check what a setting takes from the descriptor. Raises InvalidRuleError."""
    for key in PLACEHOLDER.findall(text):
        if key not in keys:
            raise InvalidRuleError(setting, f"{{{key}}} is no entry of this rule")
    rest = PLACEHOLDER.sub("", text)
    if "{" in rest or "}" in rest:
        raise InvalidRuleError(setting, "a brace that is not closed, or not opened")

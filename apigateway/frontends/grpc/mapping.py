"""Map descriptors to the customers whose quotas they use, by rules compiled from the settings.

A descriptor is a list of (key, value) entries in a domain
(envoy/extensions/common/ratelimit/v3/ratelimit.proto). A rule names a domain and some entries. It matches a
descriptor that contains all of them, in any order and possibly with others. If several rules match, the most
specific one applies: most entries, then most characters other than wildcards, then the first in the file.
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
# Customer numbers are below this.
MAX_CUSTOMERS = 2**33
# Maximum number of entries of a descriptor.
MAX_ENTRIES = 32
# Maximum length of an entry's value, in characters.
MAX_VALUE_LENGTH = 1024
# {KEY} stands for the value of the entry with that key.
PLACEHOLDER = re.compile(r"\{([^{}]*)\}")

_CUSTOMER = re.compile(r"[0-9a-f]{16}")
_CUSTOMER_BYTES = 8
_WILDCARDS = "*?"


class InvalidRuleError(ValueError):
    """A rule is invalid. If raised by `DescriptorMapping`, `args[1]` is the index of the rule.

    Attributes:
        key: The name of the invalid setting.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(reason)
        self.key = key


@dataclass(frozen=True, slots=True)
class MappingRule:
    """A rule as written in the settings.

    Attributes:
        domain: The domain of the descriptors; `*` for any.
        entries: `KEY=VALUE`, where the value may contain the wildcards `*` and `?`, or `KEY` for any value.
        customer: Sixteen hex digits, or a template with `{KEY}` for the value of an entry.
        plan: The name of a plan, or a template as for `customer`.
        service_class: The class of the checks.
        units_per_hit: The units that one hit costs.
        first_gateway: The first gateway that serves the customers of the rule.
        gateway_spread: The number of gateways that serve them.
        hashes_names: Whether a customer that is not sixteen hex digits is hashed to sixteen hex digits.
        issues_token: Whether a granted check gets a token (tokens.py).
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
    """The customer and plan whose quota a descriptor uses, and how its hits are counted."""

    customer: str
    plan: str
    service_class: str
    units_per_hit: float
    first_gateway: int
    gateway_spread: int
    issues_token: bool = False


class DescriptorMapping:
    """The compiled rules.

    Args:
        rules: The rules, in the order of the file.
        plans: The names of all plans.
        classes: The names of all service classes.
        gateway_count: The number of gateways.

    Raises:
        InvalidRuleError: A rule is invalid.
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
            compiled_rules.sort(key=lambda candidate: candidate.sort_key)

    def find_owner(self, domain: str, entries: Entries) -> QuotaOwner | None:
        """Return whose quota a descriptor uses, by the most specific matching rule; None if no rule matches.

        Rules for any domain are tried after the rules of the domain itself.
        """
        if len(entries) > MAX_ENTRIES or any(len(value) > MAX_VALUE_LENGTH for _, value in entries):
            return None
        values: dict[str, str] = {}
        for key, value in entries:
            values.setdefault(key, value)  # of repeated keys the first one is used
        for name in (domain, ANY_DOMAIN):
            for rule in self._rules_by_domain.get(name, ()):
                owner = rule.find_owner(domain, values)
                if owner is not None:
                    return owner
        return None


class _CompiledRule:
    """A validated rule with compiled patterns.

    Attributes:
        sort_key: Sorts the most specific rule first.
    """

    def __init__(self, rule: MappingRule, index: int, plans: frozenset[str]) -> None:
        self._rule = rule
        self._plans = plans
        # Keys and patterns; None matches any value.
        self._patterns: list[tuple[str, re.Pattern[str] | None]] = []
        literal_count = 0
        for entry in rule.entries:
            key, separator, value = entry.partition("=")
            is_any_value = not separator or value == "*"
            self._patterns.append((key, None if is_any_value else re.compile(fnmatch.translate(value))))
            literal_count += sum(character not in _WILDCARDS for character in value)
        self.sort_key = (-len(rule.entries), -literal_count, index)

    def find_owner(self, domain: str, values: dict[str, str]) -> QuotaOwner | None:
        """Return the owner; None if the rule does not match or yields no valid customer or plan."""
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
    """Hash a name to a customer of sixteen hex digits, the same on all gateways."""
    digest = hashlib.blake2b(f"{domain}\x1f{name}".encode(), digest_size=_CUSTOMER_BYTES).digest()
    return f"{int.from_bytes(digest, 'big') % MAX_CUSTOMERS:016x}"


def is_customer(text: str) -> bool:
    """Return whether a text is a customer: sixteen lower-case hex digits below MAX_CUSTOMERS."""
    return bool(_CUSTOMER.fullmatch(text)) and int(text, 16) < MAX_CUSTOMERS


def _fill_placeholders(text: str, values: dict[str, str]) -> str:
    value = values.get(text[1:-1]) if text[:1] == "{" else None
    if value is not None and text[-1:] == "}":  # fast path: the whole text is one placeholder
        return value
    return PLACEHOLDER.sub(lambda match: values[match[1]], text)


def _check_rule(
    rule: MappingRule, plans: frozenset[str], classes: frozenset[str], gateway_count: int
) -> None:
    """Raise InvalidRuleError for the first invalid setting of a rule."""
    keys = _entry_keys(rule)
    _check_placeholders("customer", rule.customer, keys)
    _check_placeholders("plan", rule.plan, keys)
    if not PLACEHOLDER.search(rule.customer) and not rule.hashes_names and not is_customer(rule.customer):
        raise InvalidRuleError("customer", f"{rule.customer!r} is not 16 hex digits below 2^33")
    if not PLACEHOLDER.search(rule.plan) and rule.plan not in plans:
        raise InvalidRuleError("plan", f"plan {rule.plan!r} does not exist")
    if rule.service_class not in classes:
        raise InvalidRuleError("class", f"class {rule.service_class!r} does not exist")
    if not 0 < rule.units_per_hit < math.inf:
        raise InvalidRuleError("units", "must be a finite number above 0")
    if not (0 <= rule.first_gateway < gateway_count and 1 <= rule.gateway_spread <= gateway_count):
        raise InvalidRuleError("spread", f"not within the {gateway_count} gateways")


def _entry_keys(rule: MappingRule) -> list[str]:
    """Return the entry keys of a rule. Raises InvalidRuleError."""
    keys = []
    for entry in rule.entries:
        key = entry.partition("=")[0]
        if not key:
            raise InvalidRuleError("entries", f"{entry!r} has no key")
        keys.append(key)
    if len(set(keys)) < len(keys):
        raise InvalidRuleError("entries", "an entry key occurs twice")
    return keys


def _check_placeholders(setting: str, text: str, keys: list[str]) -> None:
    """Check the placeholders in a setting. Raises InvalidRuleError."""
    for key in PLACEHOLDER.findall(text):
        if key not in keys:
            raise InvalidRuleError(setting, f"{{{key}}} is not an entry key of this rule")
    rest = PLACEHOLDER.sub("", text)
    if "{" in rest or "}" in rest:
        raise InvalidRuleError(setting, "unbalanced brace")

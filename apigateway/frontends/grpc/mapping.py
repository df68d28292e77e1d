"""Whose quota a descriptor counts against: rules from the settings, compiled when they are loaded. Pure.

A descriptor is a list of (key, value) entries in a domain
(envoy/extensions/common/ratelimit/v3/ratelimit.proto). A rule names a domain and some entries; it matches
where each of them is found, in whatever order, and the descriptor may have more. Of the rules that match the
longest goes: most entries, then most characters that are no wildcard, then the first in the file."""

from __future__ import annotations

import fnmatch
import hashlib
import math
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

Entries = Sequence[tuple[str, str]]
CUSTOMER = re.compile(r"[0-9a-f]{16}")
MOST_CUSTOMERS = 2**33
TAKEN = re.compile(r"\{([^{}]*)\}")  # {KEY}: the value of that entry
MOST_ENTRIES, MOST_TEXT = 32, 1024  # of a descriptor; characters of a value


class BadRule(ValueError):
    """Why a rule cannot be used; `key` is which of its settings."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(reason)
        self.key = key


@dataclass(frozen=True, slots=True)
class Rule:
    """`entries` are `KEY=VALUE`, with `*` and `?` in the value, or `KEY` for any. `customer` and `plan` may
    take the value of an entry, `{KEY}`. A customer that is no 16 hex digits becomes some, by its hash, where
    `named` is set."""

    domain: str
    entries: tuple[str, ...]
    customer: str
    plan: str
    cls: str
    units: float = 1.0  # what one hit is worth
    first: int = 0
    spread: int = 1
    named: bool = False
    token: bool = False  # what is granted comes with a token (tokens.py)


@dataclass(frozen=True, slots=True)
class Whose:
    customer: str
    plan: str
    cls: str
    units: float  # of one hit
    first: int
    spread: int
    token: bool = False


def hashed(domain: str, name: str) -> str:
    """A customer's 16 hex digits for a name: the same at all gateways."""
    told = hashlib.blake2b(f"{domain}\x1f{name}".encode(), digest_size=8).digest()
    return f"{int.from_bytes(told, 'big') % MOST_CUSTOMERS:016x}"


class Compiled:
    def __init__(
        self, rule: Rule, place: int, plans: Iterable[str], classes: Iterable[str], gateways: int
    ) -> None:
        self.rule, self.plans = rule, frozenset(plans)
        self.wanted: list[tuple[str, re.Pattern[str] | None]] = []
        exact = 0
        for entry in rule.entries:
            key, sign, value = entry.partition("=")
            if not key:
                raise BadRule("entries", f"{entry!r} names no key")
            any_value = not sign or value == "*"
            self.wanted.append((key, None if any_value else re.compile(fnmatch.translate(value))))
            exact += sum(c not in "*?" for c in value)
        self.order = (-len(rule.entries), -exact, place)
        keys = [key for key, _ in self.wanted]
        if len(set(keys)) < len(keys):
            raise BadRule("entries", "a key twice")
        for what, text in (("customer", rule.customer), ("plan", rule.plan)):
            for key in TAKEN.findall(text):
                if key not in keys:
                    raise BadRule(what, f"{{{key}}} is no entry of this rule")
            if "{" in TAKEN.sub("", text) or "}" in TAKEN.sub("", text):
                raise BadRule(what, "a brace that is not closed, or not opened")
        if not TAKEN.search(rule.customer) and not rule.named and not valid(rule.customer):
            raise BadRule("customer", f"{rule.customer!r} is not 16 hex digits below 2^33")
        if not TAKEN.search(rule.plan) and rule.plan not in self.plans:
            raise BadRule("plan", f"no plan {rule.plan!r}")
        if rule.cls not in set(classes):
            raise BadRule("class", f"no class {rule.cls!r}")
        if not 0 < rule.units < math.inf:
            raise BadRule("units", "no number above 0")
        if not (0 <= rule.first < gateways and 1 <= rule.spread <= gateways):
            raise BadRule("spread", f"outside the {gateways} gateways")

    def whose(self, domain: str, values: dict[str, str]) -> Whose | None:
        """None: it does not match, or what it takes from the descriptor is nobody."""
        for key, pattern in self.wanted:
            if key not in values or (pattern is not None and not pattern.fullmatch(values[key])):
                return None
        customer = filled(self.rule.customer, values)
        plan = filled(self.rule.plan, values)
        if not valid(customer.lower()):
            if not self.rule.named or not customer:
                return None
            customer = hashed(domain, customer)
        if plan not in self.plans:
            return None
        rule = self.rule
        return Whose(customer.lower(), plan, rule.cls, rule.units, rule.first, rule.spread, rule.token)


def filled(text: str, values: dict[str, str]) -> str:
    value = values.get(text[1:-1]) if text[:1] == "{" else None
    if value is not None and text[-1:] == "}":  # the usual case
        return value
    return TAKEN.sub(lambda found: values[found[1]], text)


def valid(customer: str) -> bool:
    return bool(CUSTOMER.fullmatch(customer)) and int(customer, 16) < MOST_CUSTOMERS


class Mapping:
    """All rules. Raises BadRule, with the rule's place as `args[1]`."""

    def __init__(
        self, rules: Sequence[Rule], plans: Iterable[str], classes: Iterable[str], gateways: int
    ) -> None:
        plans, classes = list(plans), list(classes)
        self.by: dict[str, list[Compiled]] = {}
        for place, rule in enumerate(rules):
            try:
                compiled = Compiled(rule, place, plans, classes, gateways)
            except BadRule as err:
                err.args = (*err.args, place)
                raise
            self.by.setdefault(rule.domain, []).append(compiled)
        for some in self.by.values():
            some.sort(key=lambda one: one.order)

    def whose(self, domain: str, entries: Entries) -> Whose | None:
        """The longest rule of this domain that matches; of any domain (`*`) where it has none. None:
        nobody's."""
        if len(entries) > MOST_ENTRIES or any(len(value) > MOST_TEXT for _, value in entries):
            return None
        values: dict[str, str] = {}
        for key, value in entries:
            values.setdefault(key, value)  # a key twice: the first stands
        for name in (domain, "*"):
            for one in self.by.get(name, ()):
                found = one.whose(domain, values)
                if found is not None:
                    return found
        return None

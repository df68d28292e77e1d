"""Plug-ins written as rules, whose conditions and actions are expressions."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from apigateway.plugins.interfaces import (
    Budget,
    FailureReason,
    Phase,
    PluginError,
    PluginKind,
    Proposal,
    RequestView,
    Verb,
)
from apigateway.plugins.language import (
    EvaluationError,
    Evaluator,
    Expression,
    ExpressionError,
    ValueType,
    compile_expression,
)
from apigateway.plugins.language.functions import to_text
from apigateway.plugins.plugin_log import PluginLog
from apigateway.plugins.plugin_state import Counters
from apigateway.plugins.proposals import TAG_KEY_PATTERN
from apigateway.plugins.rule_vocabulary import FIELDS, PERMITTED_ACTIONS, RuleAction
from apigateway.plugins.settings import RuleSection

MAX_RULES = 200

_ALWAYS_TRUE = "true"  # source of a condition that need not be evaluated

# Module globals, because they are used at each call and an enum member is slower to look up on its class.
_TAG = Verb.TAG
_ROUTE = Verb.ROUTE
_REJECT = Verb.REJECT


class InvalidRuleError(Exception):
    """A rule is invalid; `key` is the path of the invalid key, such as `rules[2].when`."""

    def __init__(self, key: str, value: object, reason: str) -> None:
        self.key = key
        self.value = value
        self.reason = reason
        super().__init__(f"{key}: {reason}")


class TagExpression(NamedTuple):
    """A tag that a rule sets."""

    key: str
    evaluate: Evaluator
    is_text: bool  # otherwise the value must be converted to text


class CounterExpression(NamedTuple):
    """A counter that a rule adds to."""

    name: str
    evaluate: Evaluator


class Rule:
    """One compiled rule.

    Attributes:
        phase: Phase in which the rule is evaluated.
        stops_evaluation: Whether later rules are skipped if this one applies.
        condition: Function that returns whether the rule applies to a view; None if it always applies.
    """

    def __init__(self, section: RuleSection, key: str, settings: Mapping[str, Any], seed: int) -> None:
        """Compile a rule; `key` is its path, such as `rules[2]`. Raises InvalidRuleError."""
        self.phase = Phase(section.on)
        self.stops_evaluation = section.stop
        self._key = key
        self._settings = settings
        self._seed = seed
        self._check_actions(section)
        condition = self._compile("when", section.when, ValueType.BOOLEAN).evaluate
        self.condition = None if section.when.strip() == _ALWAYS_TRUE else condition
        self._tags = self._compile_tags(section.tag)
        self._retry_after = self._compile_optional("refuse", section.refuse, ValueType.NUMBER)
        self._route = self._compile_optional("route", section.route, ValueType.TEXT)
        self._counters = [
            CounterExpression(name, self._compile(f"count.{name}", amount, ValueType.NUMBER).evaluate)
            for name, amount in section.count.items()
        ]
        self._log_line = self._compile_optional("log", section.log, ValueType.TEXT)

    def _check_actions(self, section: RuleSection) -> None:
        permitted = PERMITTED_ACTIONS[self.phase]
        for action in RuleAction:
            value = getattr(section, action)
            if value and action not in permitted:
                reason = f"not allowed in the phase {self.phase}; allowed there: {', '.join(permitted)}"
                raise InvalidRuleError(f"{self._key}.{action}", value, reason)

    def _compile_tags(self, tags: Mapping[str, str]) -> list[TagExpression]:
        expressions: list[TagExpression] = []
        for key, value in tags.items():
            expression = self._compile(
                f"tag.{key}", value, ValueType.TEXT, ValueType.NUMBER, ValueType.BOOLEAN
            )
            is_text = expression.type == ValueType.TEXT
            expressions.append(TagExpression(key, expression.evaluate, is_text))
        for key in tags:
            if not TAG_KEY_PATTERN.fullmatch(key):
                reason = (
                    "a tag's name must have 1 to 32 lower-case letters, digits or _.- and start with a letter"
                )
                raise InvalidRuleError(f"{self._key}.tag", key, reason)
        return expressions

    def _compile_optional(self, key: str, source: str, *types: ValueType) -> Evaluator | None:
        return self._compile(key, source, *types).evaluate if source else None

    def _compile(self, key: str, source: str, *types: ValueType) -> Expression:
        try:
            expression = compile_expression(source, FIELDS[self.phase], self._settings, self._seed)
        except ExpressionError as err:
            raise InvalidRuleError(f"{self._key}.{key}", source, str(err)) from err
        if expression.type not in types:
            reason = f"evaluates to {expression.type}, not {' or '.join(types)}"
            raise InvalidRuleError(f"{self._key}.{key}", source, reason)
        return expression

    def apply(self, view: RequestView, counters: Counters, log_lines: list[str]) -> list[Proposal]:
        """Return the rule's proposals; add to `counters` and append to `log_lines`."""
        proposals: list[Proposal] = []
        for key, evaluate, is_text in self._tags:
            value = evaluate(view)
            proposals.append(Proposal(_TAG, key, value if is_text else to_text(value)))
        if self._route is not None:
            proposals.append(Proposal(_ROUTE, self._route(view)))
        if self._retry_after is not None:
            proposals.append(Proposal(_REJECT, repr(self._retry_after(view))))
        for name, evaluate in self._counters:
            counters.add(name, evaluate(view))
        if self._log_line is not None:
            log_lines.append(self._log_line(view))
        return proposals


class RulesPlugin:
    """Implements interfaces.Plugin with rules; it has no self-test and saves no state."""

    kind = PluginKind.RULES

    def __init__(
        self,
        name: str,
        sections: Sequence[RuleSection],
        settings: Mapping[str, Any],
        budget: Budget,
        seed: int = 0,
    ) -> None:
        """Compile the rules; `name` is the prefix of log lines. Raises InvalidRuleError."""
        self.name = name
        self._budget = budget
        if not sections:
            raise InvalidRuleError("rules", None, "no rule")
        if len(sections) > MAX_RULES:
            raise InvalidRuleError("rules", len(sections), f"more than {MAX_RULES} rules")
        self._rules_by_phase: dict[Phase, list[Rule]] = {}
        for index, section in enumerate(sections):
            rule = Rule(section, f"rules[{index}]", settings, seed)
            self._rules_by_phase.setdefault(rule.phase, []).append(rule)
        self.phases = frozenset(self._rules_by_phase)
        self.reset()

    def reset(self) -> None:
        """Reset the counters and the log's rate limit."""
        self._counters = Counters()
        self._log = PluginLog(self.name, self._budget.log_lines)

    def call(self, phase: Phase, view: RequestView) -> list[Proposal]:
        """Return the proposals of the rules of a phase. Raises PluginError."""
        proposals: list[Proposal] = []
        log_lines: list[str] = []
        try:
            for rule in self._rules_by_phase.get(phase, ()):
                if rule.condition is None or rule.condition(view):
                    proposals += rule.apply(view, self._counters, log_lines)
                    if rule.stops_evaluation:
                        break
        except EvaluationError as err:
            raise PluginError(FailureReason.ERROR, str(err)) from err
        except (ArithmeticError, ValueError, TypeError, RecursionError) as err:
            raise PluginError(FailureReason.ERROR, f"{type(err).__name__} {err}") from err
        for line in log_lines:
            self._log.write(line, view.now)
        return proposals

    def self_test(self) -> None:
        """Do nothing; rules have no self-test."""

    def save_state(self) -> bytes | None:
        """Return None; rules have no state to transfer."""
        return None

    def load_state(self, state: bytes) -> bool:
        """Return False; rules load no state."""
        return False

    def counters(self) -> dict[str, float]:
        """Return the rules' counters by name."""
        return self._counters.values

    def status(self) -> dict[str, Any]:
        """Return the plug-in's part of the status report."""
        return {"log lines dropped": self._log.dropped, "counts dropped": self._counters.dropped}

    def close(self) -> None:
        """Do nothing; rules have no resources to release."""

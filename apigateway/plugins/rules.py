"""A plug-in written as rules: conditions and tags in the language of expressions."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from operator import attrgetter
from typing import Any

from apigateway.plugins.interfaces import Budget, FailureReason, Phase, PluginError, Proposal, RequestView
from apigateway.plugins.language.compiler import NUMBER, TAGS, TEXT, TRUTH, Compiled, Run, compile_text
from apigateway.plugins.language.library import RunError, text
from apigateway.plugins.language.parser import LanguageError
from apigateway.plugins.plugin_log import PluginLog
from apigateway.plugins.plugin_state import Counters
from apigateway.plugins.proposals import TAG_KEY_PATTERN
from apigateway.plugins.settings import RulePart

MOST_RULES = 200


def field(name: str, kind: str) -> tuple[str, Run]:
    return kind, attrgetter(name)


NOW = {"now": field("now", NUMBER)}
OF_REQUEST = NOW | {
    "id": field("request_id", TEXT),
    "customer": field("customer", TEXT),
    "plan": field("plan", TEXT),
    "class": field("service_class", TEXT),
    "units": field("units", NUMBER),
    "left": field("remaining", NUMBER),
    "write": field("is_write", TRUTH),
    "repeat": field("is_retry", TRUTH),
    "tags": field("tags", TAGS),
    "route": field("route", TEXT),
}
FIELDS: dict[str, dict[str, tuple[str, Run]]] = {
    Phase.REQUEST: OF_REQUEST,
    Phase.ATTEMPT: OF_REQUEST | {"host": field("endpoint_id", TEXT), "attempt": field("attempt", NUMBER)},
    Phase.ANSWER: OF_REQUEST
    | {
        "attempts": field("attempt", NUMBER),
        "outcome": field("outcome", TEXT),
        "elapsed": field("elapsed", NUMBER),
    },
    Phase.TICK: NOW,
}
# What a rule may say in which phase: all else is refused when it is loaded.
MAY = {
    Phase.REQUEST: ("tag", "refuse", "route", "count", "log"),
    Phase.ATTEMPT: ("tag", "count", "log"),
    Phase.ANSWER: ("count", "log"),
    Phase.TICK: ("count", "log"),
}


class RuleFault(Exception):
    """`key` as in `rules[2].when`."""

    def __init__(self, key: str, value: object, reason: str) -> None:
        self.key, self.value, self.reason = key, value, reason
        super().__init__(f"{key}: {reason}")


class Rule:
    """One rule, compiled."""

    def __init__(self, part: RulePart, at: str, settings: Mapping[str, Any], seed: int) -> None:
        self.part, self.at, self.settings, self.seed = part, at, settings, seed
        self.phase, self.stop = Phase(part.on), part.stop
        for verb in ("tag", "refuse", "route", "count", "log"):
            if getattr(part, verb) and verb not in MAY[self.phase]:
                raise RuleFault(
                    f"{at}.{verb}",
                    getattr(part, verb),
                    f"not in the phase {self.phase}: a rule may {', '.join(MAY[self.phase])} there",
                )
        self.when = self.compiled("when", part.when, TRUTH).run
        self.always = part.when.strip() == "true"
        self.tags = [(key, *self.value(f"tag.{key}", told)) for key, told in part.tag.items()]
        for key in part.tag:
            if not TAG_KEY_PATTERN.fullmatch(key):
                raise RuleFault(f"{at}.tag", key, "a tag's name is small letters, digits and _.-, 32 at most")
        self.refuse = self.compiled("refuse", part.refuse, NUMBER).run if part.refuse else None
        self.route = self.compiled("route", part.route, TEXT).run if part.route else None
        self.counts = [
            (key, self.compiled(f"count.{key}", told, NUMBER).run) for key, told in part.count.items()
        ]
        self.line = self.compiled("log", part.log, TEXT).run if part.log else None

    def compiled(self, key: str, told: str, *types: str) -> Compiled:
        try:
            made = compile_text(told, FIELDS[self.phase], self.settings, self.seed)
        except LanguageError as err:
            raise RuleFault(f"{self.at}.{key}", told, str(err)) from err
        if made.type not in types:
            raise RuleFault(f"{self.at}.{key}", told, f"gives {made.type}, not {' or '.join(types)}")
        return made

    def value(self, key: str, told: str) -> tuple[Run, bool]:
        made = self.compiled(key, told, TEXT, NUMBER, TRUTH)
        return made.run, made.type == TEXT

    def act(self, view: RequestView, counters: Counters, lines: list[str]) -> list[Proposal]:
        said: list[Proposal] = []
        for key, run, plain in self.tags:
            value = run(view)
            said.append(Proposal("tag", key, value if plain else text(value)))
        if self.route is not None:
            said.append(Proposal("route", self.route(view)))
        if self.refuse is not None:
            said.append(Proposal("refuse", repr(self.refuse(view))))
        for key, run in self.counts:
            counters.add(key, run(view))
        if self.line is not None:
            lines.append(self.line(view))
        return said


class RulesPlugin:
    """terms.Plugin. `name` for its log lines. Raises RuleFault."""

    kind = "rules"

    def __init__(
        self, name: str, parts: Sequence[RulePart], settings: Mapping[str, Any], budget: Budget, seed: int = 0
    ) -> None:
        self.name, self.budget = name, budget
        if not parts:
            raise RuleFault("rules", None, "no rule")
        if len(parts) > MOST_RULES:
            raise RuleFault("rules", len(parts), f"more than {MOST_RULES} rules")
        self.rules: dict[Phase, list[Rule]] = {}
        for number, part in enumerate(parts):
            rule = Rule(part, f"rules[{number}]", settings, seed)
            self.rules.setdefault(rule.phase, []).append(rule)
        self.phases = frozenset(self.rules)
        self.reset()

    def reset(self) -> None:
        self.tallies, self.log = Counters(), PluginLog(self.name, self.budget.log_lines)

    def call(self, phase: Phase, view: RequestView) -> list[Proposal]:
        said: list[Proposal] = []
        lines: list[str] = []
        try:
            for rule in self.rules.get(phase, ()):
                if rule.always or rule.when(view):
                    said += rule.act(view, self.tallies, lines)
                    if rule.stop:
                        break
        except RunError as err:
            raise PluginError(FailureReason.ERROR, str(err)) from err
        except (ArithmeticError, ValueError, TypeError, RecursionError) as err:
            raise PluginError(FailureReason.ERROR, f"{type(err).__name__} {err}") from err
        for line in lines:
            self.log.write(line, view.now)
        return said

    def self_test(self) -> None:
        """Rules bring no self-test of their own."""

    def save_state(self) -> bytes | None:
        return None

    def load_state(self, state: bytes) -> bool:
        return False

    def counters(self) -> dict[str, float]:
        return self.tallies.values

    def status(self) -> dict[str, Any]:
        return {"log lines dropped": self.log.dropped, "counts dropped": self.tallies.dropped}

    def close(self) -> None:
        pass

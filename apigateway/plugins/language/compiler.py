"""A tree to a closure over one request's view, with each type known before it ever runs.

Types: number (there is one kind), text, truth, list of numbers or texts, table (of settings: its values are
of
one type; or the tags). What can still go wrong when it runs (a key that a table lacks, a division by 0, too
long a text) raises RunError, and the rule has failed for that request.
"""

from __future__ import annotations

import datetime
import math
import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from apigateway.plugins.language.library import FUNCTIONS, RunError, bounded
from apigateway.plugins.language.parser import LanguageError, Node, parse

Run = Callable[[Any], Any]

NUMBER, TEXT, TRUTH, TAGS, LIST = "number", "text", "truth", "tags", "list of "
MOST_ITEMS = 100  # of a list that is written out


@dataclass(frozen=True, slots=True)
class Compiled:
    """`run` takes a view. `constant`: known when it was compiled, as settings are."""

    type: str
    run: Run
    constant: bool = False
    value: Any = None


def compile_text(
    text: str, fields: Mapping[str, tuple[str, Run]], settings: Mapping[str, Any], seed: int = 0
) -> Compiled:
    """`fields`: name to type and how to get it from a view. Raises LanguageError."""
    return Compiler(fields, settings, seed).node(parse(text))


def constant(type: str, value: Any) -> Compiled:
    return Compiled(type, lambda _: value, True, value)


class Compiler:
    def __init__(self, fields: Mapping[str, tuple[str, Run]], settings: Mapping[str, Any], seed: int) -> None:
        self.fields, self.settings, self.seed = fields, settings, seed

    def node(self, node: Node) -> Compiled:
        made: Compiled = getattr(self, node.kind)(node)
        return made

    def need(self, node: Node, *types: str) -> Compiled:
        made = self.node(node)
        if made.type not in types:
            raise LanguageError(node.at, f"expected {' or '.join(types)}, this is {made.type}")
        return made

    def number(self, node: Node) -> Compiled:
        return constant(NUMBER, node.value)

    def text(self, node: Node) -> Compiled:
        return constant(TEXT, bounded(str(node.value)))

    def name(self, node: Node) -> Compiled:
        if node.name in ("true", "false"):
            return constant(TRUTH, node.name == "true")
        if node.name == "settings":
            return constant("settings", self.settings)
        if node.name not in self.fields:
            known = ", ".join(sorted([*self.fields, "settings"]))
            raise LanguageError(node.at, f"no field {node.name!r} in this phase; there are {known}")
        type, get = self.fields[node.name]
        return Compiled(type, get)

    def list(self, node: Node) -> Compiled:
        if len(node.parts) > MOST_ITEMS:
            raise LanguageError(node.at, f"more than {MOST_ITEMS} items; put them into the settings")
        made = [self.need(part, NUMBER, TEXT) for part in node.parts]
        types = {item.type for item in made}
        if len(types) > 1:
            raise LanguageError(node.at, "a list of numbers and texts")
        kind = types.pop() if types else TEXT
        if all(item.constant for item in made):
            return constant(LIST + kind, tuple(item.value for item in made))
        runs = [item.run for item in made]
        return Compiled(LIST + kind, lambda v: tuple(run(v) for run in runs))

    def setting(self, at: int, value: Any) -> Compiled:
        """A value from the plug-in's settings, as TOML gave it."""
        if isinstance(value, bool):
            return constant(TRUTH, value)
        if isinstance(value, int | float):
            return constant(NUMBER, float(value))
        if isinstance(value, str):
            return constant(TEXT, value)
        if isinstance(value, datetime.date | datetime.datetime):
            return constant(NUMBER, moment(value))
        if isinstance(value, dict):
            return constant("settings", value)
        if isinstance(value, list) and all(isinstance(v, str) for v in value):
            return constant(LIST + TEXT, frozenset(value))
        if isinstance(value, list) and all(isinstance(v, int | float) for v in value):
            return constant(LIST + NUMBER, frozenset(float(v) for v in value))
        raise LanguageError(at, f"a setting of this type cannot be used: {type(value).__name__}")

    def member(self, node: Node) -> Compiled:
        made, name = self.node(node.parts[0]), node.name
        if made.type == TAGS:
            get = made.run
            return Compiled(TEXT, lambda v: get(v).get(name, ""))
        if made.type != "settings":
            raise LanguageError(node.at, f"{made.type} has no member {name!r}")
        if name not in made.value:
            raise LanguageError(node.at, f"no setting {name!r}; there are {', '.join(made.value) or 'none'}")
        return self.setting(node.at, made.value[name])

    def index(self, node: Node) -> Compiled:
        made, key = self.node(node.parts[0]), self.need(node.parts[1], TEXT)
        get, find = made.run, key.run
        if made.type == TAGS:
            return Compiled(TEXT, lambda v: get(v).get(find(v), ""))
        if made.type != "settings":
            raise LanguageError(node.at, f"{made.type} is not looked up by a key")
        table, kind = self.table(node.at, made.value)

        def look(v: Any) -> Any:
            found = table.get(find(v))
            if found is None:
                raise RunError("a key that its table lacks")
            return found

        return Compiled(kind, look)

    def table(self, at: int, values: Mapping[str, Any]) -> tuple[dict[str, Any], str]:
        """A table of settings with values of one type, as it is looked up in."""
        made = {key: self.setting(at, value) for key, value in values.items()}
        types = {item.type for item in made.values()}
        if len(types) > 1 or types - {NUMBER, TEXT, TRUTH}:
            raise LanguageError(at, "a table that is looked up in holds values of one type, no tables")
        return {key: item.value for key, item in made.items()}, types.pop() if types else TEXT

    def unary(self, node: Node) -> Compiled:
        made = self.need(node.parts[0], TRUTH if node.name == "!" else NUMBER)
        run = made.run
        if made.constant:
            return constant(made.type, (not made.value) if node.name == "!" else -made.value)
        if node.name == "!":
            return Compiled(TRUTH, lambda v: not run(v))
        return Compiled(NUMBER, lambda v: -run(v))

    def choice(self, node: Node) -> Compiled:
        test, yes, no = self.need(node.parts[0], TRUTH), self.node(node.parts[1]), self.node(node.parts[2])
        if yes.type != no.type:
            raise LanguageError(node.at, f"either {yes.type} or {no.type}; both must be of one type")
        if test.constant:
            return yes if test.value else no
        ask, one, other = test.run, yes.run, no.run
        return Compiled(yes.type, lambda v: one(v) if ask(v) else other(v))

    def binary(self, node: Node) -> Compiled:
        if node.name in ("&&", "||"):
            return self.logic(node)
        if node.name == "in":
            return self.within(node)
        left, right = self.node(node.parts[0]), self.node(node.parts[1])
        if left.type != right.type:
            raise LanguageError(node.at, f"{left.type} {node.name} {right.type}: both must be of one type")
        kind = left.type
        if node.name in ("==", "!="):
            self.only(node, kind, NUMBER, TEXT, TRUTH)
            return self.operator(operator.eq if node.name == "==" else operator.ne, TRUTH, left, right)
        if node.name in RELATIONS:
            self.only(node, kind, NUMBER, TEXT)
            return self.operator(RELATIONS[node.name], TRUTH, left, right)
        if node.name == "+" and kind == TEXT:
            a, b = left.run, right.run
            return Compiled(TEXT, lambda v: bounded(a(v) + b(v)))
        self.only(node, kind, NUMBER)
        return self.operator(ARITHMETIC[node.name], NUMBER, left, right)

    @staticmethod
    def only(node: Node, kind: str, *types: str) -> None:
        if kind not in types:
            raise LanguageError(node.at, f"{node.name} does not go with {kind}")

    @staticmethod
    def operator(act: Callable[[Any, Any], Any], kind: str, left: Compiled, right: Compiled) -> Compiled:
        a, b = left.run, right.run
        if right.constant and not left.constant:  # the common form, a field against a constant
            value = right.value
            return Compiled(kind, lambda v: act(a(v), value))
        return Compiled(kind, lambda v: act(a(v), b(v)))

    def logic(self, node: Node) -> Compiled:
        left, right = self.need(node.parts[0], TRUTH), self.need(node.parts[1], TRUTH)
        a, b = left.run, right.run
        if node.name == "&&":
            return Compiled(TRUTH, lambda v: a(v) and b(v))
        return Compiled(TRUTH, lambda v: a(v) or b(v))

    def within(self, node: Node) -> Compiled:
        item, place = self.need(node.parts[0], NUMBER, TEXT), self.node(node.parts[1])
        a, b = item.run, place.run
        if place.type == "settings" and item.type == TEXT:
            keys = frozenset(place.value)
            return Compiled(TRUTH, lambda v: a(v) in keys)
        if place.type not in (LIST + item.type, TAGS):
            raise LanguageError(node.at, f"{item.type} in {place.type}: expected a list or table of such")
        if place.constant:
            items = frozenset(place.value)
            return Compiled(TRUTH, lambda v: a(v) in items)
        return Compiled(TRUTH, lambda v: a(v) in b(v))

    def call(self, node: Node) -> Compiled:
        if node.name == "has":  # whether a tag or setting is there at all
            return self.has(node)
        if node.name == "get":
            return self.get(node)
        if node.name == "sample":
            return self.sample(node)
        if node.name == "date":
            return self.date(node)
        if node.name not in FUNCTIONS:
            raise LanguageError(
                node.at, f"no function {node.name!r}; there are {', '.join(sorted([*FUNCTIONS, *SPECIAL]))}"
            )
        forms, act, kind = FUNCTIONS[node.name]
        made = [self.node(part) for part in node.parts]
        types = tuple("list" if part.type.startswith(LIST) else part.type for part in made)
        if types not in forms:
            wanted = " or ".join(f"({', '.join(form)})" for form in forms)
            raise LanguageError(node.at, f"{node.name} takes {wanted}, not ({', '.join(types)})")
        runs = [part.run for part in made]
        if len(runs) == 1:
            one = runs[0]
            return Compiled(kind, lambda v: act(one(v)))
        if len(runs) == 2:
            one, two = runs
            return Compiled(kind, lambda v: act(one(v), two(v)))
        return Compiled(kind, lambda v: act(*[run(v) for run in runs]))

    def parts(self, node: Node, count: int) -> tuple[Node, ...]:
        if len(node.parts) != count:
            raise LanguageError(node.at, f"{node.name} takes {count} values, not {len(node.parts)}")
        return node.parts

    def has(self, node: Node) -> Compiled:
        (part,) = self.parts(node, 1)
        if part.kind != "member":
            raise LanguageError(node.at, "has takes a member: has(tags.name) or has(settings.name)")
        made, name = self.node(part.parts[0]), part.name
        if made.type == "settings":
            return constant(TRUTH, name in made.value)
        if made.type != TAGS:
            raise LanguageError(part.at, f"{made.type} has no members")
        get = made.run
        return Compiled(TRUTH, lambda v: name in get(v))

    def get(self, node: Node) -> Compiled:
        place, key, other = self.parts(node, 3)
        made, find, default = self.node(place), self.need(key, TEXT).run, self.node(other)
        miss = default.run
        if made.type == TAGS and default.type == TEXT:
            tags = made.run
            return Compiled(TEXT, lambda v: tags(v).get(find(v)) or miss(v))
        if made.type != "settings":
            raise LanguageError(place.at, f"get takes a table of settings, this is {made.type}")
        table, kind = self.table(place.at, made.value)
        if table and default.type != kind:
            raise LanguageError(other.at, f"the table holds {kind}, the default is {default.type}")

        def look(v: Any) -> Any:
            found = table.get(find(v))
            return miss(v) if found is None else found

        return Compiled(default.type, look)

    def sample(self, node: Node) -> Compiled:
        """True for a part of all requests, the same for a request wherever and whenever it is asked."""
        made = self.need(self.parts(node, 1)[0], NUMBER)
        if "id" not in self.fields:
            raise LanguageError(node.at, "sample goes with a request; this phase has none")
        run, get, seed = made.run, self.fields["id"][1], self.seed
        share = FUNCTIONS["share"][1]
        return Compiled(TRUTH, lambda v: share(get(v), seed) < run(v))

    def date(self, node: Node) -> Compiled:
        (part,) = self.parts(node, 1)
        made = self.need(part, TEXT)
        if not made.constant:
            raise LanguageError(part.at, 'date takes a text that is written out, "2026-08-26T00:00+05:30"')
        try:
            told = datetime.datetime.fromisoformat(made.value)
        except ValueError as err:
            raise LanguageError(part.at, f"{made.value!r} is no date") from err
        return constant(NUMBER, moment(told))


SPECIAL = ("date", "get", "has", "sample")
RELATIONS: dict[str, Callable[[Any, Any], Any]] = {
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


def quotient(a: float, b: float) -> float:
    if b == 0:
        raise RunError("division by 0")
    return a / b


def remainder(a: float, b: float) -> float:
    if b == 0 or not math.isfinite(a):
        raise RunError("division by 0")
    return math.fmod(a, b)


ARITHMETIC: dict[str, Callable[[Any, Any], Any]] = {
    "+": operator.add,
    "-": operator.sub,
    "*": operator.mul,
    "/": quotient,
    "%": remainder,
}


def moment(told: datetime.date) -> float:
    """Unix seconds; without a zone it is UTC."""
    if not isinstance(told, datetime.datetime):
        told = datetime.datetime(told.year, told.month, told.day)
    if told.tzinfo is None:
        told = told.replace(tzinfo=datetime.UTC)
    return told.timestamp()

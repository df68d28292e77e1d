"""Text to a tree of nodes. Precedence as in CEL: `?:`, `||`, `&&`, relations, sums, products, unary,
members."""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST_TEXT = 2000  # characters of an expression
MOST_NODES = 300
MOST_DEPTH = 40  # nested brackets, calls and conditions: the compiler walks the tree by recursion

TOKEN = re.compile(
    r"""
    (?P<blank>\s+)
  | (?P<number>\d+(?:\.\d+)?(?:[eE][+-]?\d{1,3})?)
  | (?P<text>"(?:[^"\\\n]|\\.)*"|'(?:[^'\\\n]|\\.)*')
  | (?P<name>[A-Za-z_][A-Za-z0-9_]*)
  | (?P<sign>\|\||&&|==|!=|<=|>=|[-+*/%<>!?:.,()\[\]])
""",
    re.VERBOSE,
)
ESCAPE = re.compile(r"\\(.)")
ESCAPES = {"n": "\n", "t": "\t", "\\": "\\", '"': '"', "'": "'"}
BINARY = {
    "||": 1,
    "&&": 2,
    "==": 3,
    "!=": 3,
    "<": 3,
    "<=": 3,
    ">": 3,
    ">=": 3,
    "in": 3,
    "+": 4,
    "-": 4,
    "*": 5,
    "/": 5,
    "%": 5,
}


class LanguageError(Exception):
    """What is wrong with an expression, and at which character, from 0."""

    def __init__(self, at: int, reason: str) -> None:
        self.at, self.reason = at, reason
        super().__init__(f"{reason} (character {at})")


@dataclass(frozen=True, slots=True)
class Node:
    """`kind`: number, text, name, list, call, member, index, unary, binary or choice. `name` is the operator,
    the name or the function's; a method call has its object as first of `parts`."""

    kind: str
    at: int
    name: str = ""
    value: float | str = 0.0
    parts: tuple[Node, ...] = ()


@dataclass(frozen=True, slots=True)
class Token:
    kind: str  # number, text, name, sign or end
    text: str
    at: int


def tokens(text: str) -> list[Token]:
    found, at = list[Token](), 0
    while at < len(text):
        match = TOKEN.match(text, at)
        if match is None:
            raise LanguageError(at, f"{text[at]!r} has no meaning here")
        if match.lastgroup != "blank":
            found.append(Token(str(match.lastgroup), match.group(), at))
        at = match.end()
    return [*found, Token("end", "the end", len(text))]


def unquoted(token: Token) -> str:
    def one(match: re.Match[str]) -> str:
        if match.group(1) not in ESCAPES:
            raise LanguageError(token.at, f"unknown escape \\{match.group(1)}")
        return ESCAPES[match.group(1)]

    return ESCAPE.sub(one, token.text[1:-1])


class Parser:
    def __init__(self, text: str) -> None:
        if len(text) > MOST_TEXT:
            raise LanguageError(MOST_TEXT, f"longer than {MOST_TEXT} characters")
        self.tokens, self.next = tokens(text), 0
        self.nodes = self.depth = 0

    @property
    def token(self) -> Token:
        return self.tokens[self.next]

    def step(self) -> Token:
        token = self.token
        self.next += 1
        return token

    def accept(self, text: str) -> bool:
        if self.token.kind in ("sign", "name") and self.token.text == text:
            self.next += 1
            return True
        return False

    def expect(self, text: str) -> None:
        if not self.accept(text):
            raise LanguageError(self.token.at, f"expected {text!r}, found {self.token.text!r}")

    def node(
        self, kind: str, at: int, name: str = "", value: float | str = 0.0, parts: tuple[Node, ...] = ()
    ) -> Node:
        self.nodes += 1
        if self.nodes > MOST_NODES:
            raise LanguageError(at, f"more than {MOST_NODES} parts")
        return Node(kind, at, name, value, parts)

    def whole(self) -> Node:
        made = self.choice()
        if self.token.kind != "end":
            raise LanguageError(self.token.at, f"{self.token.text!r} follows a whole expression")
        return made

    def choice(self) -> Node:
        self.depth += 1
        if self.depth > MOST_DEPTH:
            raise LanguageError(self.token.at, f"nested more than {MOST_DEPTH} deep")
        made = self.binary(1)
        if self.token.text == "?" and self.token.kind == "sign":
            at = self.step().at
            yes = self.choice()
            self.expect(":")
            made = self.node("choice", at, parts=(made, yes, self.choice()))
        self.depth -= 1
        return made

    def binary(self, least: int) -> Node:
        left = self.unary()
        while self.token.kind in ("sign", "name") and BINARY.get(self.token.text, 0) >= least:
            token = self.step()
            right = self.binary(BINARY[token.text] + 1)
            left = self.node("binary", token.at, token.text, parts=(left, right))
        return left

    def unary(self) -> Node:
        if self.token.kind == "sign" and self.token.text in "!-":
            token = self.step()
            self.depth += 1
            if self.depth > MOST_DEPTH:
                raise LanguageError(token.at, f"nested more than {MOST_DEPTH} deep")
            made = self.node("unary", token.at, token.text, parts=(self.unary(),))
            self.depth -= 1
            return made
        return self.members(self.primary())

    def members(self, made: Node) -> Node:
        while True:
            at = self.token.at
            if self.accept("."):
                name = self.step()
                if name.kind != "name":
                    raise LanguageError(name.at, f"expected a name after '.', found {name.text!r}")
                if self.accept("("):
                    made = self.node("call", name.at, name.text, parts=(made, *self.listed(")")))
                else:
                    made = self.node("member", name.at, name.text, parts=(made,))
            elif self.accept("["):
                made = self.node("index", at, parts=(made, self.choice()))
                self.expect("]")
            else:
                return made

    def listed(self, end: str) -> tuple[Node, ...]:
        parts: list[Node] = []
        if not self.accept(end):
            parts.append(self.choice())
            while self.accept(","):
                parts.append(self.choice())
            self.expect(end)
        return tuple(parts)

    def primary(self) -> Node:
        token = self.step()
        if token.kind == "number":
            value = float(token.text)
            if value == float("inf"):
                raise LanguageError(token.at, "too large a number")
            return self.node("number", token.at, value=value)
        if token.kind == "text":
            return self.node("text", token.at, value=unquoted(token))
        if token.kind == "name" and token.text not in BINARY:
            if self.accept("("):
                return self.node("call", token.at, token.text, parts=self.listed(")"))
            return self.node("name", token.at, token.text)
        if token.kind == "sign" and token.text == "(":
            made = self.choice()
            self.expect(")")
            return made
        if token.kind == "sign" and token.text == "[":
            return self.node("list", token.at, parts=self.listed("]"))
        raise LanguageError(token.at, f"expected a value, found {token.text!r}")


def parse(text: str) -> Node:
    """Raises LanguageError."""
    return Parser(text).whole()

"""The text of an expression to tokens."""

from __future__ import annotations

import enum
import re
from typing import NamedTuple

from apigateway.plugins.language.errors import ExpressionError

_TOKEN_PATTERN = re.compile(
    r"""
    (?P<blank>\s+)
  | (?P<number>\d+(?:\.\d+)?(?:[eE][+-]?\d{1,3})?)
  | (?P<text>"(?:[^"\\\n]|\\.)*"|'(?:[^'\\\n]|\\.)*')
  | (?P<name>[A-Za-z_][A-Za-z0-9_]*)
  | (?P<sign>\|\||&&|==|!=|<=|>=|[-+*/%<>!?:.,()\[\]])
""",
    re.VERBOSE,
)
_BLANK = "blank"
_ESCAPE_PATTERN = re.compile(r"\\(.)")
_ESCAPES = {"n": "\n", "t": "\t", "\\": "\\", '"': '"', "'": "'"}


class TokenKind(enum.StrEnum):
    """The values are the groups of the pattern."""

    NUMBER = "number"
    TEXT = "text"  # with its quotes
    NAME = "name"
    SIGN = "sign"
    END = "end"


class Token(NamedTuple):
    """A word of an expression; `position` is its first character, from 0."""

    kind: TokenKind
    text: str
    position: int


def tokenize(text: str) -> list[Token]:
    """Return the tokens, with one of kind END at last. Raises ExpressionError."""
    tokens: list[Token] = []
    position = 0
    while position < len(text):
        match = _TOKEN_PATTERN.match(text, position)
        if match is None:
            raise ExpressionError(position, f"{text[position]!r} has no meaning here")
        if match.lastgroup != _BLANK:
            tokens.append(Token(TokenKind(str(match.lastgroup)), match.group(), position))
        position = match.end()
    tokens.append(Token(TokenKind.END, "the end", len(text)))
    return tokens


def unquote(token: Token) -> str:
    """Return the value of a token of kind TEXT. Raises ExpressionError."""

    def unescape(match: re.Match[str]) -> str:
        if match.group(1) not in _ESCAPES:
            raise ExpressionError(token.position, f"unknown escape \\{match.group(1)}")
        return _ESCAPES[match.group(1)]

    return _ESCAPE_PATTERN.sub(unescape, token.text[1:-1])

"""Splits the text of an expression into tokens."""

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
_WHITESPACE = "blank"
_ESCAPE_PATTERN = re.compile(r"\\(.)")
_ESCAPES = {"n": "\n", "t": "\t", "\\": "\\", '"': '"', "'": "'"}


class TokenKind(enum.StrEnum):
    """Kind of a token. The values are names of groups in the pattern."""

    NUMBER = "number"
    TEXT = "text"  # including its quotes
    NAME = "name"
    SYMBOL = "sign"
    END = "end"


class Token(NamedTuple):
    """A token of an expression; `position` is the index of its first character, from 0."""

    kind: TokenKind
    text: str
    position: int


def tokenize(text: str) -> list[Token]:
    """Return the tokens, of which the last has the kind END. Raises ExpressionError."""
    tokens: list[Token] = []
    position = 0
    while position < len(text):
        match = _TOKEN_PATTERN.match(text, position)
        if match is None:
            raise ExpressionError(position, f"unexpected character {text[position]!r}")
        if match.lastgroup != _WHITESPACE:
            tokens.append(Token(TokenKind(str(match.lastgroup)), match.group(), position))
        position = match.end()
    tokens.append(Token(TokenKind.END, "end of expression", len(text)))
    return tokens


def unquote(token: Token) -> str:
    """Return the value of a token of kind TEXT. Raises ExpressionError on an unknown escape sequence."""

    def unescape(match: re.Match[str]) -> str:
        if match.group(1) not in _ESCAPES:
            raise ExpressionError(token.position, f"unknown escape \\{match.group(1)}")
        return _ESCAPES[match.group(1)]

    return _ESCAPE_PATTERN.sub(unescape, token.text[1:-1])

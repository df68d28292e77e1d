"""Parses tokens into a tree of nodes.

Operators have the precedence of CEL, from the lowest: `?:`, `||`, `&&`, relations, sums, products, unary
operators, member access.
"""

from __future__ import annotations

import math
from typing import TypeVar

from apigateway.plugins.language.errors import ExpressionError
from apigateway.plugins.language.lexer import Token, TokenKind, tokenize, unquote
from apigateway.plugins.language.nodes import (
    Binary,
    Call,
    Conditional,
    Index,
    ListLiteral,
    Member,
    Name,
    Node,
    NumberLiteral,
    TextLiteral,
    Unary,
)

MAX_EXPRESSION_CHARACTERS = 2000
MAX_NODES = 300
MAX_DEPTH = 40  # of nested brackets, calls and conditions; bounds the recursion of the compiler

_UNARY_OPERATORS = ("!", "-")
_LOWEST_PRECEDENCE = 1
_BINARY_PRECEDENCES = {
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

_NodeT = TypeVar("_NodeT", bound=Node)


def parse(text: str) -> Node:
    """Parse an expression and return its tree. Raises ExpressionError."""
    return _Parser(text).parse()


class _Parser:
    """Recursive descent parser; binary operators are parsed by precedence climbing."""

    def __init__(self, text: str) -> None:
        if len(text) > MAX_EXPRESSION_CHARACTERS:
            raise ExpressionError(
                MAX_EXPRESSION_CHARACTERS, f"longer than {MAX_EXPRESSION_CHARACTERS} characters"
            )
        self._tokens = tokenize(text)
        self._index = 0
        self._node_count = 0
        self._depth = 0

    @property
    def _token(self) -> Token:
        return self._tokens[self._index]

    def _advance(self) -> Token:
        token = self._token
        self._index += 1
        return token

    def _is_symbol(self, text: str) -> bool:
        return self._token.kind == TokenKind.SYMBOL and self._token.text == text

    def _accept(self, text: str) -> bool:
        if self._token.kind in (TokenKind.SYMBOL, TokenKind.NAME) and self._token.text == text:
            self._index += 1
            return True
        return False

    def _expect(self, text: str) -> None:
        if not self._accept(text):
            raise ExpressionError(self._token.position, f"expected {text!r}, found {self._token.text!r}")

    def _count_node(self, node: _NodeT) -> _NodeT:
        """Count and return a node. Raises ExpressionError if the expression has too many."""
        self._node_count += 1
        if self._node_count > MAX_NODES:
            raise ExpressionError(node.position, f"more than {MAX_NODES} parts")
        return node

    def _enter_nesting(self, position: int) -> None:
        """Increment the nesting depth, which the caller decrements afterwards. Raises ExpressionError."""
        self._depth += 1
        if self._depth > MAX_DEPTH:
            raise ExpressionError(position, f"nested more than {MAX_DEPTH} levels deep")

    def parse(self) -> Node:
        node = self._parse_conditional()
        if self._token.kind != TokenKind.END:
            raise ExpressionError(
                self._token.position, f"unexpected {self._token.text!r} after the expression"
            )
        return node

    def _parse_conditional(self) -> Node:
        self._enter_nesting(self._token.position)
        node = self._parse_binary(_LOWEST_PRECEDENCE)
        if self._is_symbol("?"):
            position = self._advance().position
            if_true = self._parse_conditional()
            self._expect(":")
            node = self._count_node(Conditional(position, node, if_true, self._parse_conditional()))
        self._depth -= 1
        return node

    def _parse_binary(self, min_precedence: int) -> Node:
        left = self._parse_unary()
        while self._binary_precedence() >= min_precedence:
            operator = self._advance()
            right = self._parse_binary(_BINARY_PRECEDENCES[operator.text] + 1)
            left = self._count_node(Binary(operator.position, operator.text, left, right))
        return left

    def _binary_precedence(self) -> int:
        """Return the precedence of the next token; 0 if it is not a binary operator."""
        if self._token.kind not in (TokenKind.SYMBOL, TokenKind.NAME):
            return 0
        return _BINARY_PRECEDENCES.get(self._token.text, 0)

    def _parse_unary(self) -> Node:
        if self._token.kind == TokenKind.SYMBOL and self._token.text in _UNARY_OPERATORS:
            operator = self._advance()
            self._enter_nesting(operator.position)
            node = self._count_node(Unary(operator.position, operator.text, self._parse_unary()))
            self._depth -= 1
            return node
        return self._parse_members(self._parse_primary())

    def _parse_members(self, node: Node) -> Node:
        while True:
            position = self._token.position
            if self._accept("."):
                node = self._parse_member(node)
            elif self._accept("["):
                node = self._count_node(Index(position, node, self._parse_conditional()))
                self._expect("]")
            else:
                return node

    def _parse_member(self, container: Node) -> Node:
        name = self._advance()
        if name.kind != TokenKind.NAME:
            raise ExpressionError(name.position, f"expected a name after '.', found {name.text!r}")
        if self._accept("("):
            arguments = (container, *self._parse_items(")"))
            return self._count_node(Call(name.position, name.text, arguments))
        return self._count_node(Member(name.position, container, name.text))

    def _parse_items(self, closing: str) -> tuple[Node, ...]:
        items: list[Node] = []
        if not self._accept(closing):
            items.append(self._parse_conditional())
            while self._accept(","):
                items.append(self._parse_conditional())
            self._expect(closing)
        return tuple(items)

    def _parse_primary(self) -> Node:
        token = self._advance()
        match token.kind:
            case TokenKind.NUMBER:
                return self._parse_number(token)
            case TokenKind.TEXT:
                return self._count_node(TextLiteral(token.position, unquote(token)))
            case TokenKind.NAME if token.text not in _BINARY_PRECEDENCES:
                if self._accept("("):
                    return self._count_node(Call(token.position, token.text, self._parse_items(")")))
                return self._count_node(Name(token.position, token.text))
            case TokenKind.SYMBOL if token.text == "(":
                node = self._parse_conditional()
                self._expect(")")
                return node
            case TokenKind.SYMBOL if token.text == "[":
                return self._count_node(ListLiteral(token.position, self._parse_items("]")))
            case _:
                raise ExpressionError(token.position, f"expected a value, found {token.text!r}")

    def _parse_number(self, token: Token) -> Node:
        value = float(token.text)
        if value == math.inf:
            raise ExpressionError(token.position, "the number is too large")
        return self._count_node(NumberLiteral(token.position, value))

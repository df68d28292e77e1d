"""The tree of an expression. A position is the character that errors name, from 0."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NumberLiteral:
    """A number that is written out."""

    position: int
    value: float


@dataclass(frozen=True, slots=True)
class TextLiteral:
    """A text that is written out, without quotes and escapes."""

    position: int
    value: str


@dataclass(frozen=True, slots=True)
class Name:
    """A field, `settings`, `true` or `false`."""

    position: int
    name: str


@dataclass(frozen=True, slots=True)
class ListLiteral:
    """`[a, b]`."""

    position: int
    items: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class Call:
    """`f(a, b)`, or `a.f(b)`, whose object is the first argument."""

    position: int
    function: str
    arguments: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class Member:
    """`a.name`."""

    position: int
    container: Node
    name: str


@dataclass(frozen=True, slots=True)
class Index:
    """`a[key]`."""

    position: int
    container: Node
    key: Node


@dataclass(frozen=True, slots=True)
class Unary:
    """`!a` or `-a`."""

    position: int
    operator: str
    operand: Node


@dataclass(frozen=True, slots=True)
class Binary:
    """`a + b`, and the like."""

    position: int
    operator: str
    left: Node
    right: Node


@dataclass(frozen=True, slots=True)
class Conditional:
    """`condition ? a : b`."""

    position: int
    condition: Node
    if_true: Node
    if_false: Node


Node = NumberLiteral | TextLiteral | Name | ListLiteral | Call | Member | Index | Unary | Binary | Conditional

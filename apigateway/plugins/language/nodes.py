"""The nodes of an expression's tree. A position is the index of a character, from 0, for error messages."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NumberLiteral:
    """A number literal."""

    position: int
    value: float


@dataclass(frozen=True, slots=True)
class TextLiteral:
    """A text literal; `value` has no quotes or escape sequences."""

    position: int
    value: str


@dataclass(frozen=True, slots=True)
class Name:
    """A field, `settings`, `true` or `false`."""

    position: int
    name: str


@dataclass(frozen=True, slots=True)
class ListLiteral:
    """A list literal, `[a, b]`."""

    position: int
    items: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class Call:
    """A call, `f(a, b)` or `a.f(b)`, in which `a` is the first argument."""

    position: int
    function: str
    arguments: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class Member:
    """A member access, `a.name`."""

    position: int
    container: Node
    name: str


@dataclass(frozen=True, slots=True)
class Index:
    """An index access, `a[key]`."""

    position: int
    container: Node
    key: Node


@dataclass(frozen=True, slots=True)
class Unary:
    """A unary operation, `!a` or `-a`."""

    position: int
    operator: str
    operand: Node


@dataclass(frozen=True, slots=True)
class Binary:
    """A binary operation, such as `a + b`."""

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

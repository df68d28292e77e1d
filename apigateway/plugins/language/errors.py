"""Errors of expressions, at compilation and at evaluation."""

from __future__ import annotations


class ExpressionError(Exception):
    """An expression is invalid; `position` is the index of the character at fault, from 0."""

    def __init__(self, position: int, reason: str) -> None:
        self.position = position
        self.reason = reason
        super().__init__(f"{reason} (character {position})")


class EvaluationError(Exception):
    """An expression has no value for this request."""

"""What is wrong with an expression, when it is loaded and when it is evaluated."""

from __future__ import annotations


class ExpressionError(Exception):
    """An expression cannot be used; `position` is the character that is at fault, from 0."""

    def __init__(self, position: int, reason: str) -> None:
        self.position = position
        self.reason = reason
        super().__init__(f"{reason} (character {position})")


class EvaluationError(Exception):
    """An expression has no value for this request."""

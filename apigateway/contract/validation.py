"""A check that the dataclasses of the contract use for their values."""

from __future__ import annotations


def require(condition: bool, message: str) -> None:
    """Raise ValueError with `message` unless `condition` holds."""
    if not condition:
        raise ValueError(message)

"""What a plug-in tool found."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


class UnusableArgumentError(Exception):
    """Arguments that cannot be used."""


@dataclass(slots=True)
class Report:
    """What a tool found.

    Attributes:
        lines: As text.
        figures: As a JSON document.
        is_good: Whether nothing is wrong.
    """

    lines: list[str] = field(default_factory=list)
    figures: dict[str, Any] = field(default_factory=dict)
    is_good: bool = True

"""What a plug-in tool found."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


class InvalidArgumentError(Exception):
    """Arguments that cannot be used."""


@dataclass(slots=True)
class Report:
    """What a tool found.

    Attributes:
        lines: The report as text.
        data: The report as a JSON document.
        succeeded: Whether no call failed.
    """

    lines: list[str] = field(default_factory=list)
    data: dict[str, Any] = field(default_factory=dict)
    succeeded: bool = True

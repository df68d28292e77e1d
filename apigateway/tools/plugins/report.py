"""The report of a plug-in tool."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


class InvalidArgumentError(Exception):
    """An argument of a tool is invalid."""


@dataclass(slots=True)
class Report:
    """The report of a tool.

    Attributes:
        lines: The report as text.
        data: The report as a JSON document.
        succeeded: Whether no call failed.
    """

    lines: list[str] = field(default_factory=list)
    data: dict[str, Any] = field(default_factory=dict)
    succeeded: bool = True

"""What the check of a rule finds."""

from __future__ import annotations

from typing import NamedTuple


class Findings(NamedTuple):
    """The number of checked cases and the breaches of one rule."""

    checked: int
    breaches: list[str]

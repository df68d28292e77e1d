"""The record of a case: what was sent, answered and run, and what broke the rule."""

from __future__ import annotations

import json
from pathlib import Path
from time import monotonic
from typing import Any


class Record:
    """Collects events with their times, in seconds since the start, and writes them to a file.

    Attributes:
        events: All events, as they are written.
        breaches: What broke the rule, one line each.
    """

    def __init__(self) -> None:
        self.started_at = monotonic()
        self.events: list[dict[str, Any]] = []
        self.breaches: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return monotonic() - self.started_at

    def add(self, kind: str, **fields: Any) -> dict[str, Any]:
        """Add an event that happens now, and return it: what is learned later may be added to it."""
        event = {"at": round(self.now(), 4), "event": kind, **fields}
        self.events.append(event)
        return event

    def breach(self, text: str) -> None:
        """Add a line on how the rule was broken."""
        self.breaches.append(text)

    def write(self, path: Path, verdict: str) -> None:
        """Write the verdict, the breaches and all events."""
        lines = [f"verdict: {verdict}", *(f"breach: {text}" for text in self.breaches)]
        lines += [json.dumps(event) for event in self.events]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")

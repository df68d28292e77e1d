"""The interface of the decision module, as the simulation uses it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from apigateway import messages


class DecisionModule(Protocol):
    """Decides what one gateway does: it is handed events and returns actions."""

    def handle(self, now: float, event: messages.Event) -> Sequence[messages.Action]:
        """Return what is to be done upon an event."""


ModuleFactory = Callable[[messages.Settings, int, float], DecisionModule]  # settings, seed, time

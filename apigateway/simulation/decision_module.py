"""The interface of the decision module that the simulation uses."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from apigateway import messages


class DecisionModule(Protocol):
    """The decision module of one gateway, which maps events to actions."""

    def handle(self, now: float, event: messages.Event) -> Sequence[messages.Action]:
        """Return the actions that an event leads to."""


ModuleFactory = Callable[[messages.Settings, int, float], DecisionModule]  # settings, seed, time

"""Scan a command for what load shedding decides by, at a part of the cost of parsing it.

While the gateway is overloaded most commands are rejected, so what is spent on each matters. Loaded only
where load shedding is on.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from apigateway import messages
from apigateway.core.request_lifecycle import RESPONSE_MARGIN_S
from apigateway.frontends.resp.command import READ_VERB, WRITE_VERB, parse_decimal
from apigateway.policy import overload_gate

# Combinations of class, plan and units whose priority is cached; past it all are forgotten together.
MAX_CACHED_PRIORITIES = 512

_VERBS = (READ_VERB, WRITE_VERB)
_MIN_PARTS = 4  # of a read
_MAX_PARTS = 5  # of a write
# Class, plan, the time that a client waits, units: in the order in which clients write them.
_FIELDS = re.compile(
    rb"c=([^,]{1,64}),t=([^,]{1,64}),d=([0-9]{1,9}),(?:[^u][^,]*,)?"
    rb"units=([0-9.]{1,19})(?:,|$)"
)


class ScannedCommand(NamedTuple):
    """What load shedding decides by."""

    customer: str
    request_id: str
    priority_step: int  # its priority weight on the scale of overload_gate.priority_step
    remaining: float  # seconds that its client waits
    is_write: bool


class CommandScanner:
    """Scan commands by one set of settings."""

    def __init__(self, settings: messages.Settings) -> None:
        self._settings = settings
        # Priority steps by class, plan and units as they stand in commands.
        self._priority_steps: dict[tuple[bytes, bytes, bytes], int] = {}

    def scan(self, command: object) -> ScannedCommand | None:
        """Return what a command says; None if it has to be parsed.

        It has to be where it is malformed or its fields are not in the usual order.
        """
        if not isinstance(command, list) or not _MIN_PARTS <= len(command) <= _MAX_PARTS:
            return None
        verb, customer, request_id, fields = command[:_MIN_PARTS]
        if verb not in _VERBS or type(fields) is not bytes:
            return None
        found = _FIELDS.match(fields)
        if found is None or type(customer) is not bytes or type(request_id) is not bytes:
            return None
        class_name, plan, wait_ms, units = found.groups()
        try:
            priority_step = self._priority_steps.get((class_name, plan, units))
            if priority_step is None:
                priority_step = self._cache_priority_step(class_name, plan, units)
            return ScannedCommand(
                customer.decode().lower(),
                request_id.decode(),
                priority_step,
                int(wait_ms) / 1000,
                verb == WRITE_VERB,
            )
        except (KeyError, ValueError):  # parsing it will say what is wrong
            return None

    def from_request(self, request: messages.Request) -> ScannedCommand:
        """Return the same of a command that was parsed."""
        return ScannedCommand(
            request.customer,
            request.request_id,
            self._priority_step(request.service_class, request.plan, request.units),
            request.remaining + RESPONSE_MARGIN_S,
            request.is_write,
        )

    def _cache_priority_step(self, class_name: bytes, plan: bytes, units: bytes) -> int:
        """Compute a priority step and keep it. Raises KeyError or ValueError for what is unknown."""
        priority_step = self._priority_step(class_name.decode(), plan.decode(), parse_decimal(units))
        if len(self._priority_steps) >= MAX_CACHED_PRIORITIES:
            self._priority_steps.clear()
        self._priority_steps[class_name, plan, units] = priority_step
        return priority_step

    def _priority_step(self, class_name: str, plan: str, units: float) -> int:
        service_class = self._settings.classes[class_name]
        price_weight = self._settings.plans[plan].price_weight
        return overload_gate.priority_step(service_class.priority_weight * price_weight * units)

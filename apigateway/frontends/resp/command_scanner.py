"""Extract from a command what load shedding needs, at a fraction of the cost of parsing it.

An overloaded gateway rejects most commands, so the cost of a rejection matters. Imported only if load
shedding is on.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from apigateway import messages
from apigateway.core.request_lifecycle import RESPONSE_MARGIN_S
from apigateway.frontends.resp.command import READ_VERB, WRITE_VERB, parse_decimal
from apigateway.policy import overload_gate

# Maximum number of cached priorities, by class, plan and units. The cache is cleared when full.
MAX_CACHED_PRIORITIES = 512

_VERBS = (READ_VERB, WRITE_VERB)
_MIN_PARTS = 4  # a read
_MAX_PARTS = 5  # a write
# Class, plan, timeout and units, in the order in which clients write them.
_FIELDS = re.compile(
    rb"c=([^,]{1,64}),t=([^,]{1,64}),d=([0-9]{1,9}),(?:[^u][^,]*,)?"
    rb"units=([0-9.]{1,19})(?:,|$)"
)


class ScannedCommand(NamedTuple):
    """The input of the load shedding decision."""

    customer: str
    request_id: str
    priority_step: int  # priority weight on the scale of overload_gate.priority_step
    remaining: float  # timeout of the client in seconds
    is_write: bool


class CommandScanner:
    """Scans commands by fixed settings."""

    def __init__(self, settings: messages.Settings) -> None:
        self._settings = settings
        # Priority steps by class, plan and units as written in commands.
        self._priority_steps: dict[tuple[bytes, bytes, bytes], int] = {}

    def scan(self, command: object) -> ScannedCommand | None:
        """Scan a command; return None if it must be parsed instead.

        That is the case if it is malformed or its fields are in another order.
        """
        if not isinstance(command, list) or not _MIN_PARTS <= len(command) <= _MAX_PARTS:
            return None
        verb, customer, request_id, fields = command[:_MIN_PARTS]
        if verb not in _VERBS or type(fields) is not bytes:
            return None
        match = _FIELDS.match(fields)
        if match is None or type(customer) is not bytes or type(request_id) is not bytes:
            return None
        class_name, plan, timeout_ms, units = match.groups()
        try:
            priority_step = self._priority_steps.get((class_name, plan, units))
            if priority_step is None:
                priority_step = self._cache_priority_step(class_name, plan, units)
            return ScannedCommand(
                customer.decode().lower(),
                request_id.decode(),
                priority_step,
                int(timeout_ms) / 1000,
                verb == WRITE_VERB,
            )
        except (KeyError, ValueError):  # parsing it reports the error
            return None

    def from_request(self, request: messages.Request) -> ScannedCommand:
        """Return the same values for a parsed command."""
        return ScannedCommand(
            request.customer,
            request.request_id,
            self._priority_step(request.service_class, request.plan, request.units),
            request.remaining + RESPONSE_MARGIN_S,
            request.is_write,
        )

    def _cache_priority_step(self, class_name: bytes, plan: bytes, units: bytes) -> int:
        """Compute and cache a priority step. Raises KeyError or ValueError for invalid fields."""
        priority_step = self._priority_step(class_name.decode(), plan.decode(), parse_decimal(units))
        if len(self._priority_steps) >= MAX_CACHED_PRIORITIES:
            self._priority_steps.clear()
        self._priority_steps[class_name, plan, units] = priority_step
        return priority_step

    def _priority_step(self, class_name: str, plan: str, units: float) -> int:
        service_class = self._settings.classes[class_name]
        price_weight = self._settings.plans[plan].price_weight
        return overload_gate.priority_step(service_class.priority_weight * price_weight * units)

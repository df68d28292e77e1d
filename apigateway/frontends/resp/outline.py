"""Of a command what overload decides by, read at a part of the cost of reading it all. Loaded where that is
on."""

from __future__ import annotations

import re
from typing import NamedTuple

from apigateway import messages
from apigateway.core.request_lifecycle import RESPONSE_MARGIN_S
from apigateway.frontends.resp.command import decimal
from apigateway.policy import overload_gate

# Class, plan, the time that a client waits, units: in the order in which clients write.
TERMS = re.compile(
    rb"c=([^,]{1,64}),t=([^,]{1,64}),d=([0-9]{1,9}),(?:[^u][^,]*,)?"
    rb"units=([0-9.]{1,19})(?:,|$)"
)
MOST_KEPT = 512


class Outline(NamedTuple):
    customer: str
    id: str
    worth: int  # its step (overload_gate.step)
    left: float  # s
    write: bool


class Outliner:
    def __init__(self, settings: messages.Settings) -> None:
        self.settings = settings
        # class, plan and units: the step of their worth
        self.kept: dict[tuple[bytes, bytes, bytes], int] = {}

    def command(self, command: object) -> Outline | None:
        """None: it is no command, or its terms stand in another order, so it is to be read in full."""
        if not isinstance(command, list) or not 4 <= len(command) <= 5:
            return None
        verb, customer, id, told = command[:4]
        if (verb != b"API.READ" and verb != b"API.WRITE") or type(told) is not bytes:
            return None
        found = TERMS.match(told)
        if found is None or type(customer) is not bytes or type(id) is not bytes:
            return None
        cls, plan, left, units = found.groups()
        try:
            worth = self.kept.get((cls, plan, units))
            if worth is None:
                worth = self.worth(cls.decode(), plan.decode(), decimal(units))
                if len(self.kept) >= MOST_KEPT:
                    self.kept.clear()
                self.kept[cls, plan, units] = worth
            return Outline(
                customer.decode().lower(), id.decode(), worth, int(left) / 1000, verb == b"API.WRITE"
            )
        except (KeyError, ValueError):  # reading it in full will say what is odd
            return None

    def request(self, request: messages.Request) -> Outline:
        """The same of one that was read in full."""
        return Outline(
            request.customer,
            request.request_id,
            self.worth(request.service_class, request.plan, request.units),
            request.remaining + RESPONSE_MARGIN_S,
            request.is_write,
        )

    def worth(self, cls: str, plan: str, units: float) -> int:
        return overload_gate.step(
            self.settings.classes[cls].priority_weight * self.settings.plans[plan].price_weight * units
        )

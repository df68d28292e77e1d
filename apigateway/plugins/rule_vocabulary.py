"""The vocabulary of rules: the fields and the actions that are available in each phase."""

from __future__ import annotations

import enum
from operator import attrgetter

from apigateway.plugins.interfaces import Phase
from apigateway.plugins.language import Field, ValueType


class RuleAction(enum.StrEnum):
    """An action of a rule. The values are the keys of a rule in settings."""

    TAG = "tag"
    REJECT = "refuse"
    ROUTE = "route"
    COUNT = "count"
    LOG = "log"


# The actions permitted in each phase; rules with other actions are rejected when they are loaded.
PERMITTED_ACTIONS = {
    Phase.REQUEST: tuple(RuleAction),
    Phase.ATTEMPT: (RuleAction.TAG, RuleAction.COUNT, RuleAction.LOG),
    Phase.ANSWER: (RuleAction.COUNT, RuleAction.LOG),
    Phase.TICK: (RuleAction.COUNT, RuleAction.LOG),
}


def _field(attribute: str, value_type: ValueType) -> Field:
    """Return a field that reads this attribute of a RequestView."""
    return Field(value_type, attrgetter(attribute))


_TICK_FIELDS = {"now": _field("now", ValueType.NUMBER)}
_REQUEST_FIELDS = _TICK_FIELDS | {
    "id": _field("request_id", ValueType.TEXT),
    "customer": _field("customer", ValueType.TEXT),
    "plan": _field("plan", ValueType.TEXT),
    "class": _field("service_class", ValueType.TEXT),
    "units": _field("units", ValueType.NUMBER),
    "left": _field("remaining", ValueType.NUMBER),
    "write": _field("is_write", ValueType.BOOLEAN),
    "repeat": _field("is_retry", ValueType.BOOLEAN),
    "tags": _field("tags", ValueType.TAGS),
    "route": _field("route", ValueType.TEXT),
}
_ATTEMPT_FIELDS = _REQUEST_FIELDS | {
    "host": _field("endpoint_id", ValueType.TEXT),
    "attempt": _field("attempt", ValueType.NUMBER),
}
_ANSWER_FIELDS = _REQUEST_FIELDS | {
    "attempts": _field("attempt", ValueType.NUMBER),
    "outcome": _field("outcome", ValueType.TEXT),
    "elapsed": _field("elapsed", ValueType.NUMBER),
}
FIELDS = {
    Phase.REQUEST: _REQUEST_FIELDS,
    Phase.ATTEMPT: _ATTEMPT_FIELDS,
    Phase.ANSWER: _ANSWER_FIELDS,
    Phase.TICK: _TICK_FIELDS,
}

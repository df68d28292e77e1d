"""The words of rules: which fields a rule can read in a phase, and what it may do there."""

from __future__ import annotations

import enum
from operator import attrgetter

from apigateway.plugins.interfaces import Phase
from apigateway.plugins.language.compiler import NUMBER, TAGS, TEXT, TRUTH, Run


class RuleAction(enum.StrEnum):
    """What a rule does. The values are the keys of a rule."""

    TAG = "tag"
    REFUSE = "refuse"
    ROUTE = "route"
    COUNT = "count"
    LOG = "log"


# What a rule may do in which phase: all else is rejected when it is loaded.
PERMITTED_ACTIONS = {
    Phase.REQUEST: tuple(RuleAction),
    Phase.ATTEMPT: (RuleAction.TAG, RuleAction.COUNT, RuleAction.LOG),
    Phase.ANSWER: (RuleAction.COUNT, RuleAction.LOG),
    Phase.TICK: (RuleAction.COUNT, RuleAction.LOG),
}


def _field(attribute: str, kind: str) -> tuple[str, Run]:
    """Return a field of rules that is this attribute of a RequestView."""
    return kind, attrgetter(attribute)


_TICK_FIELDS = {"now": _field("now", NUMBER)}
_REQUEST_FIELDS = _TICK_FIELDS | {
    "id": _field("request_id", TEXT),
    "customer": _field("customer", TEXT),
    "plan": _field("plan", TEXT),
    "class": _field("service_class", TEXT),
    "units": _field("units", NUMBER),
    "left": _field("remaining", NUMBER),
    "write": _field("is_write", TRUTH),
    "repeat": _field("is_retry", TRUTH),
    "tags": _field("tags", TAGS),
    "route": _field("route", TEXT),
}
_ATTEMPT_FIELDS = _REQUEST_FIELDS | {
    "host": _field("endpoint_id", TEXT),
    "attempt": _field("attempt", NUMBER),
}
_ANSWER_FIELDS = _REQUEST_FIELDS | {
    "attempts": _field("attempt", NUMBER),
    "outcome": _field("outcome", TEXT),
    "elapsed": _field("elapsed", NUMBER),
}
FIELDS = {
    Phase.REQUEST: _REQUEST_FIELDS,
    Phase.ATTEMPT: _ATTEMPT_FIELDS,
    Phase.ANSWER: _ANSWER_FIELDS,
    Phase.TICK: _TICK_FIELDS,
}

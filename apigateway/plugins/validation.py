"""Calls a plug-in as a gateway would, before it serves."""

from __future__ import annotations

import time

from apigateway import messages
from apigateway.plugins.interfaces import Outcome, Phase, Plugin, RequestView

MAX_SAMPLE_REQUESTS = 12  # that each plug-in is called for

_SAMPLE_ENDPOINT_ID = "proof-host"
_SAMPLE_ELAPSED = 0.01  # s


def sample_requests(settings: messages.Settings) -> list[RequestView]:
    """Return requests of each class and plan that a gateway has, MAX_SAMPLE_REQUESTS at most."""
    kinds = [(cls, plan) for cls in settings.classes.values() for plan in settings.plans.values()]
    return [
        RequestView(
            request_id=f"proof-{number}",
            customer=f"{number:016x}",
            plan=plan.name,
            service_class=cls.name,
            units=1.0,
            remaining=cls.deadline,
            now=time.time(),
            is_write=not cls.is_safe,
        )
        for number, (cls, plan) in enumerate(kinds[:MAX_SAMPLE_REQUESTS], 1)
    ]


def validate(plugin: Plugin, settings: messages.Settings) -> None:
    """Run a plug-in's own self-test, then each of its phases for each kind of request.

    It forgets all of it. Raises PluginError.
    """
    plugin.self_test()
    outcomes = list(Outcome)
    for number, view in enumerate(sample_requests(settings)):
        _validate_request(plugin, view, outcomes[number % len(outcomes)])
    if Phase.TICK in plugin.phases:
        plugin.call(Phase.TICK, RequestView(now=time.time()))
    plugin.reset()


def _validate_request(plugin: Plugin, view: RequestView, outcome: Outcome) -> None:
    if Phase.REQUEST in plugin.phases:
        plugin.call(Phase.REQUEST, view)
    if Phase.ATTEMPT in plugin.phases:
        view.endpoint_id = _SAMPLE_ENDPOINT_ID
        plugin.call(Phase.ATTEMPT, view)
    if Phase.ANSWER in plugin.phases:
        view.outcome = outcome
        view.elapsed = _SAMPLE_ELAPSED
        view.endpoint_id = ""
        plugin.call(Phase.ANSWER, view)

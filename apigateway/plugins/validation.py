"""Validates a plug-in before it is used, by calling it as a gateway would."""

from __future__ import annotations

import time

from apigateway import messages
from apigateway.plugins.interfaces import Outcome, Phase, Plugin, RequestView

MAX_SAMPLE_REQUESTS = 12  # per plug-in

_SAMPLE_ENDPOINT_ID = "proof-host"
_SAMPLE_ELAPSED_S = 0.01


def sample_requests(settings: messages.Settings) -> list[RequestView]:
    """Return a sample request for each pair of class and plan, at most MAX_SAMPLE_REQUESTS."""
    class_plan_pairs = [
        (service_class, plan)
        for service_class in settings.classes.values()
        for plan in settings.plans.values()
    ]
    return [
        RequestView(
            request_id=f"proof-{number}",
            customer=f"{number:016x}",
            plan=plan.name,
            service_class=service_class.name,
            units=1.0,
            remaining=service_class.deadline,
            now=time.time(),
            is_write=not service_class.is_safe,
        )
        for number, (service_class, plan) in enumerate(class_plan_pairs[:MAX_SAMPLE_REQUESTS], 1)
    ]


def validate(plugin: Plugin, settings: messages.Settings) -> None:
    """Run a plug-in's own self-test, then call each of its phases for each sample request.

    The plug-in is reset afterwards. Raises PluginError if any of it fails.
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
        view.elapsed = _SAMPLE_ELAPSED_S
        view.endpoint_id = ""
        plugin.call(Phase.ANSWER, view)

"""Simple policies that the decision module is measured against.

A host's load is the requests that it holds for each core. Policies see the true state, or with an age behind
their name (`two:0.5`) that of so many seconds ago. Only `quota` keeps quotas: it chooses as `two` does, and
rejects what customers' quotas have no room for by their true state, which no counter and no gateway tells.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from apigateway import messages
from apigateway.simulation.load_history import HostLoadHistory
from apigateway.simulation.rule_checker import RuleChecker
from apigateway.simulation.scenario import Scenario

MAX_FIRST_TURN = 1 << 20  # round robin starts at a random turn below this


class BaselineKind(StrEnum):
    """The baselines by their names in experiment files."""

    RANDOM = "random"
    ROUND_ROBIN = "robin"
    TWO_CHOICES = "two"  # the less loaded of two hosts drawn at random
    LEAST_LOADED = "best"  # of all hosts
    QUOTA = "quota"  # two choices, within quotas


class BaselinePolicy(NamedTuple):
    """A baseline and the age in seconds of the state that it sees."""

    kind: BaselineKind
    age: float

    @classmethod
    def parse(cls, text: str) -> BaselinePolicy:
        """Read `KIND` or `KIND:AGE`.

        Raises:
            ValueError: There is no such baseline, or the age is no number of seconds.
        """
        kind, _, age_text = text.partition(":")
        age = float(age_text or 0)
        if not age >= 0:  # also what is not a number
            raise ValueError(f"{text}: the age is below 0")
        return cls(BaselineKind(kind), age)


def is_baseline(text: str) -> bool:
    """Return whether there is a baseline of this name."""
    try:
        BaselinePolicy.parse(text)
    except ValueError:
        return False
    return True


@dataclass(slots=True)
class BaselineRequest:
    """A request that a baseline is at work on."""

    service_class: messages.ServiceClass
    tried_endpoints: set[str] = field(default_factory=set)


class BaselineModule:
    """Stands in for the decision module of one gateway."""

    def __init__(
        self,
        scenario: Scenario,
        policy: BaselinePolicy,
        load_history: HostLoadHistory,
        rule_checker: RuleChecker,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._load_history = load_history
        self._rule_checker = rule_checker
        self._rng = rng
        self._max_attempts = scenario.max_attempts
        self._classes = {workload.cls.name: workload.cls for workload in scenario.works}
        self._available: dict[str, messages.Endpoint] = {}
        self._requests: dict[str, BaselineRequest] = {}
        self._turn = rng.randrange(MAX_FIRST_TURN)

    def handle(self, now: float, event: messages.Event) -> Sequence[messages.Action]:
        """Return what is to be done upon an event."""
        match event:
            case messages.EndpointList():
                self._on_endpoint_list(event)
            case messages.Request():
                return self._on_request(event)
            case messages.AttemptOutcome(is_final=False) if event.request_id in self._requests:
                return self._on_failed_attempt(event)
            case messages.AttemptOutcome() | messages.ClientDisconnected():
                self._requests.pop(event.request_id, None)
        return []

    def _on_endpoint_list(self, event: messages.EndpointList) -> None:
        for endpoint in event.endpoints:
            if endpoint.state == messages.EndpointStatus.UP:
                self._available[endpoint.id] = endpoint
            else:
                self._available.pop(endpoint.id, None)

    def _on_request(self, event: messages.Request) -> Sequence[messages.Action]:
        if self._policy.kind is BaselineKind.QUOTA:
            has_quota = self._rule_checker.has_quota(event.customer, event.plan, self._policy.age)
            if not has_quota:
                return [messages.Reject(event.request_id, 0.0)]
        self._requests[event.request_id] = BaselineRequest(self._classes[event.service_class])
        return self._forward(event.request_id)

    def _on_failed_attempt(self, event: messages.AttemptOutcome) -> Sequence[messages.Action]:
        """Retry if that is safe."""
        request = self._requests[event.request_id]
        match event.result:
            case messages.AttemptResult.CONNECT_FAILED | messages.AttemptResult.REJECTED:
                may_retry = True
            case messages.AttemptResult.ERROR | messages.AttemptResult.RESET:
                may_retry = request.service_class.idempotency == messages.Idempotency.SAFE
            case _:
                may_retry = False
        return self._forward(event.request_id) if may_retry else self._fail(event.request_id)

    def _fail(self, request_id: str) -> Sequence[messages.Action]:
        del self._requests[request_id]
        return [messages.Fail(request_id)]

    def _forward(self, request_id: str) -> Sequence[messages.Action]:
        tried = self._requests[request_id].tried_endpoints
        if len(tried) >= self._max_attempts or len(tried) >= len(self._available):
            return self._fail(request_id)
        endpoint_id = self._select_endpoint(tried)
        tried.add(endpoint_id)
        return [messages.ForwardRequest(request_id, endpoint_id)]

    def _select_endpoint(self, tried: set[str]) -> str:
        candidates = [endpoint_id for endpoint_id in self._available if endpoint_id not in tried]
        match self._policy.kind:
            case BaselineKind.ROUND_ROBIN:
                self._turn += 1
                return candidates[self._turn % len(candidates)]
            case BaselineKind.RANDOM:
                return candidates[int(self._rng.random() * len(candidates))]
            case BaselineKind.LEAST_LOADED:
                self._rng.shuffle(candidates)  # so that equals are not always taken in one order
            case BaselineKind.TWO_CHOICES | BaselineKind.QUOTA:
                candidates = self._rng.sample(candidates, min(2, len(candidates)))
        age = self._policy.age
        return min(candidates, key=lambda endpoint_id: self._load_history.load_per_core(endpoint_id, age))

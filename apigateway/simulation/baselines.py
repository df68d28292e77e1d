"""Simple policies to compare the decision module with.

The load of a host is its number of requests per core. Policies see the true current state, or with an age
after their name (`two:0.5`) the state that many seconds ago. Only `quota` enforces quotas: it selects hosts
like `two`, and rejects requests beyond the true quota of a customer, which no real gateway or counter knows.
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

MAX_FIRST_POSITION = 1 << 20  # round robin starts at a random position below this


class BaselineKind(StrEnum):
    """The baselines; the values are their names in experiment files."""

    RANDOM = "random"
    ROUND_ROBIN = "robin"
    TWO_CHOICES = "two"  # the less loaded of two hosts drawn at random
    LEAST_LOADED = "best"  # of all hosts
    QUOTA = "quota"  # two choices, within quotas


class BaselinePolicy(NamedTuple):
    """A baseline, and the age in seconds of the state that it sees."""

    kind: BaselineKind
    age: float

    @classmethod
    def parse(cls, text: str) -> BaselinePolicy:
        """Parse `KIND` or `KIND:AGE`.

        Raises:
            ValueError: The baseline is unknown, or the age is not a number of seconds.
        """
        kind, _, age_text = text.partition(":")
        age = float(age_text or 0)
        if not age >= 0:  # also rejects NaN
            raise ValueError(f"{text}: the age must be 0 or more seconds")
        return cls(BaselineKind(kind), age)


def is_baseline(text: str) -> bool:
    """Return whether the text names a baseline."""
    try:
        BaselinePolicy.parse(text)
    except ValueError:
        return False
    return True


@dataclass(slots=True)
class BaselineRequest:
    """A request in progress."""

    service_class: messages.ServiceClass
    tried_endpoint_ids: set[str] = field(default_factory=set)


class BaselineModule:
    """A replacement for the decision module of one gateway."""

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
        self._position = rng.randrange(MAX_FIRST_POSITION)

    def handle(self, now: float, event: messages.Event) -> Sequence[messages.Action]:
        """Return the actions that an event leads to."""
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
        """Retry a request if that is safe, else fail it."""
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
        tried_ids = self._requests[request_id].tried_endpoint_ids
        if len(tried_ids) >= self._max_attempts or len(tried_ids) >= len(self._available):
            return self._fail(request_id)
        endpoint_id = self._select_endpoint(tried_ids)
        tried_ids.add(endpoint_id)
        return [messages.ForwardRequest(request_id, endpoint_id)]

    def _select_endpoint(self, tried_ids: set[str]) -> str:
        candidates = [endpoint_id for endpoint_id in self._available if endpoint_id not in tried_ids]
        match self._policy.kind:
            case BaselineKind.ROUND_ROBIN:
                self._position += 1
                return candidates[self._position % len(candidates)]
            case BaselineKind.RANDOM:
                return candidates[int(self._rng.random() * len(candidates))]
            case BaselineKind.LEAST_LOADED:
                self._rng.shuffle(candidates)  # a random order among equally loaded hosts
            case BaselineKind.TWO_CHOICES | BaselineKind.QUOTA:
                candidates = self._rng.sample(candidates, min(2, len(candidates)))
        age = self._policy.age
        return min(candidates, key=lambda endpoint_id: self._load_history.load_per_core(endpoint_id, age))

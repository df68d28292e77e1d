"""ShouldRateLimit: a question of several descriptors to checks, and their answers to one (envoy rls.proto).

Knows messages and the core, no socket. Any descriptor over its limit makes the answer OVER_LIMIT; then what
the others were granted is given back, since the caller will not go on. """

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterator
from typing import Any, Literal

from envoy.service.ratelimit.v3 import rls_pb2 as pb

from calicomast import interface as api
from calicomast.core.life import WAY_BACK, Core, InWork
from calicomast.fronts.grpc.mapping import Mapping, Whose
from calicomast.fronts.grpc.wire import INTERNAL, INVALID_ARGUMENT, RESOURCE_EXHAUSTED, UNAVAILABLE

METHOD = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"
MOST_DESCRIPTORS = 100
OK, OVER, UNKNOWN = (pb.RateLimitResponse.OK, pb.RateLimitResponse.OVER_LIMIT,
                     pb.RateLimitResponse.UNKNOWN)
UNIT = pb.RateLimitResponse.RateLimit
UNITS = ((UNIT.SECOND, 1), (UNIT.MINUTE, 60), (UNIT.HOUR, 3600), (UNIT.DAY, 86400))

Answered = Callable[[bytes], None]
Failed = Callable[[int, str], None]  # gRPC status, text


def limit_told(plan: api.Plan, limit: Any) -> None:
    """A plan's rate as so many requests a unit of time: the shortest in which it is whole, nearly."""
    for unit, seconds in UNITS:
        told = plan.rate * seconds
        if told >= 1 and (abs(told - round(told)) < 1e-6 * told or unit == UNIT.DAY):
            limit.requests_per_unit, limit.unit = min(round(told), 2 ** 32 - 1), unit
            break
    limit.name = plan.name


class Answer:
    """One descriptor's place among those of its question: core.ports.CheckPlace."""

    __slots__ = ("question", "token", "whose", "units", "told")

    def __init__(self, question: Question, whose: Whose | None, units: float) -> None:
        self.question, self.whose, self.units = question, whose, units
        self.token: Any = None
        self.told: api.Granted | api.Denied | str | None = None

    def answer(self, told: api.Granted | api.Denied | str) -> None:
        self.told = told
        self.question.one_more()

    def granted(self, told: api.Granted) -> None:
        self.answer(told)

    def denied(self, told: api.Denied) -> None:
        self.answer(told)

    def refused(self, wait: float) -> None:
        self.answer("no room")

    def failed(self) -> None:
        self.answer("failed")

    def served(self, value: bytes) -> None:
        self.answer("failed")


class Question:
    """One call. `answered` or `failed` is called once, unless `gone` was."""

    def __init__(self, service: RateLimit, answered: Answered, failed: Failed) -> None:
        self.service, self.answered, self.failed = service, answered, failed
        self.answers: list[Answer] = []
        self.left = 0  # answers that are still to come, and one while they are asked for
        self.over = False

    def ask(self, whose: list[tuple[Whose | None, float]], left: float) -> None:
        core, service = self.service.core, self.service
        self.answers = [Answer(self, one, units) for one, units in whose]
        self.left = 1 + sum(answer.whose is not None for answer in self.answers)
        for answer in self.answers:
            if answer.whose is None:
                continue
            one = answer.whose
            check = api.Check(next(service.ids), left - WAY_BACK, one.customer, one.plan, one.cls,
                              answer.units, one.first, one.spread)
            try:
                core.check(service.front, check, answer)
            except InWork:
                answer.failed()
        self.one_more()

    def one_more(self) -> None:
        self.left -= 1
        if not self.left and not self.over:
            self.over = True
            self.tell()

    def gone(self) -> None:
        """The caller left: what waits is called off, and what it was granted meanwhile is given back."""
        if self.over:
            return
        self.over = True
        for answer in self.answers:
            if answer.told is None and answer.token is not None:
                self.service.core.gone(answer)
        self.give_back()

    def give_back(self) -> None:
        for answer in self.answers:
            if isinstance(answer.told, api.Granted) and answer.whose is not None:
                self.service.core.give_back(answer.whose.customer, answer.told, answer.units)

    def tell(self) -> None:
        unknown = [answer for answer in self.answers if isinstance(answer.told, str)
                   or (isinstance(answer.told, api.Denied) and not answer.told.over)]
        over = [answer for answer in self.answers
                if (isinstance(answer.told, api.Denied) and answer.told.over)
                or (answer.whose is None and self.service.unmapped == "over")]
        if over or unknown:
            self.give_back()
        if unknown and not over:  # shed, out of time, no room: nobody can say
            self.failed(UNAVAILABLE, "not decided: too much at once, or no time left")
            return
        response = pb.RateLimitResponse(overall_code=OVER if over else OK)
        settings = self.service.core.settings
        for answer in self.answers:
            status = response.statuses.add()
            status.code = OVER if answer in over else UNKNOWN if answer in unknown else OK
            if answer.whose is None or isinstance(answer.told, str) or answer.told is None:
                continue
            plan = settings.plans[answer.whose.plan]
            if plan.rate:
                limit_told(plan, status.current_limit)
                hits = math.floor(answer.told.remaining / answer.whose.units)
                status.limit_remaining = min(2 ** 32 - 1, hits)
                status.duration_until_reset.FromNanoseconds(max(0, round(answer.told.reset * 1e9)))
        waits = [answer.told.retry_after for answer in over if isinstance(answer.told, api.Denied)]
        if waits and max(waits) > 0:
            response.response_headers_to_add.add(key="retry-after-ms",
                                                 value=str(math.ceil(max(waits) * 1000)))
        self.answered(response.SerializeToString())


class RateLimit:
    """The service. `patience`: seconds that a call has which names no time. `unmapped`: what a descriptor
    that is nobody's is told: "ok", "over", or "error" for the whole call."""

    def __init__(self, core: Core, front: object, mapping: Mapping, patience: float,
                 unmapped: Literal["ok", "over", "error"] = "ok") -> None:
        self.core, self.front, self.mapping = core, front, mapping
        self.patience, self.unmapped = patience, unmapped
        self.ids: Iterator[str] = counted(f"check-{time.monotonic_ns():x}-")

    def call(self, message: bytes, timeout: float | None, answered: Answered,
             failed: Failed) -> Question | None:
        """The question, for `gone`; None: it was answered at once."""
        try:
            request = pb.RateLimitRequest.FromString(message)
        except Exception:  # protobuf's DecodeError, and what odd bytes make of it
            failed(INTERNAL, "the message cannot be read")
            return None
        if len(request.descriptors) > MOST_DESCRIPTORS:
            failed(RESOURCE_EXHAUSTED, f"{len(request.descriptors)} descriptors: {MOST_DESCRIPTORS} at most")
            return None
        if not request.domain or not request.descriptors:
            failed(INVALID_ARGUMENT, "a domain and a descriptor are needed")
            return None
        whose: list[tuple[Whose | None, float]] = []
        for descriptor in request.descriptors:
            entries = [(entry.key, entry.value) for entry in descriptor.entries]
            one = self.mapping.whose(request.domain, entries)
            if one is None and self.unmapped == "error":
                failed(INVALID_ARGUMENT, "a descriptor that no rule says whose it is")
                return None
            # A request that sets none counts one; a descriptor of its own may say 0, which spends nothing.
            own = descriptor.HasField("hits_addend")
            hits = descriptor.hits_addend.value if own else request.hits_addend or 1
            whose.append((one, hits * one.units if one is not None else 0.0))
        question = Question(self, answered, failed)
        question.ask(whose, self.patience if timeout is None else min(timeout, self.patience))
        return None if question.over else question


def counted(prefix: str) -> Iterator[str]:
    number = 0
    while True:
        number += 1
        yield f"{prefix}{number}"

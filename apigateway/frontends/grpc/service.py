"""ShouldRateLimit: a question of several descriptors to checks, and their answers to one (envoy rls.proto).

Knows messages and the core, no socket. Any descriptor over its limit makes the answer OVER_LIMIT; then what
the others were granted is given back, since the caller will not go on. A descriptor that brings a limit of
its own is two checks where settings allow it: one of the customer's plan, one of that limit."""

from __future__ import annotations

import functools
import math
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any, Literal

from envoy.service.ratelimit.v3 import rls_pb2 as pb

from apigateway import messages
from apigateway.core.request_lifecycle import RESPONSE_MARGIN_S, DuplicateRequestError, RequestDispatcher
from apigateway.frontends.grpc.mapping import Mapping, Whose
from apigateway.frontends.grpc.tokens import Purpose, Tokens
from apigateway.upstream.rpc import (
    FAILED_PRECONDITION,
    INTERNAL,
    INVALID_ARGUMENT,
    RESOURCE_EXHAUSTED,
    UNAVAILABLE,
)

NAME = "envoy.service.ratelimit.v3.RateLimitService"
METHOD = f"/{NAME}/ShouldRateLimit"
OK, OVER, UNKNOWN = (pb.RateLimitResponse.OK, pb.RateLimitResponse.OVER_LIMIT, pb.RateLimitResponse.UNKNOWN)
UNIT = pb.RateLimitResponse.RateLimit
UNITS = ((UNIT.SECOND, 1), (UNIT.MINUTE, 60), (UNIT.HOUR, 3600), (UNIT.DAY, 86400))
# A descriptor's own limit: its unit's number there, and seconds. What is told in longer ones is not taken: no
# count of it would be known for so long.
OWN_UNITS = {1: 1, 2: 60, 3: 3600, 4: 86400}
COUNTED_FOR = 20.0  # s; a window as long as this is known at the counter for as long as it matters
MOST_HITS = 2**32 - 1
NONE = 1e-9  # units, and units a second, that stand for none
TOKENS = "tokens"  # in the answer's metadata: one for each descriptor, empty where there is none
TOKEN_HEADER, WAIT_HEADER = "x-calicomast-token", "retry-after-ms"

Code = Any  # of RateLimitResponse
Answered = Callable[[bytes], None]
Failed = Callable[[int, str], None]  # gRPC status, text


@dataclass(frozen=True, slots=True)
class Terms:
    """`patience`: seconds that a call has which names no time, and at most. `unmapped`: what a descriptor
    that is nobody's is told, "error" for the whole call. `override`: what becomes of a limit that a
    descriptor brings: it is ignored, it tightens, or the call is refused."""

    mapping: Mapping
    patience: float = 1.0
    unmapped: Literal["ok", "over", "error"] = "ok"
    override: Literal["ignore", "tighten", "refuse"] = "ignore"
    most_descriptors: int = 100
    tokens: Tokens | None = None


@functools.lru_cache(maxsize=1024)  # a plan's, or of a limit that descriptors bring
def limit_told(plan: messages.Plan) -> Any:
    """A plan's rate as so many requests a unit of time: the shortest in which it is whole, nearly."""
    limit = UNIT(name=plan.name)
    for unit, seconds in UNITS:
        told = plan.rate * seconds
        if told >= 1 and (abs(told - round(told)) < 1e-6 * told or unit == UNIT.DAY):
            limit.requests_per_unit, limit.unit = min(round(told), MOST_HITS), unit
            break
    return limit


def own_plan(plan: messages.Plan, hits: int, seconds: float) -> messages.Plan:
    """A plan for the limit that a descriptor brings, `hits` in so many seconds. Where the unit is long what
    may come at once is less, so that its window is one that the counter knows to its end. A limit of none
    is a store into which nothing fits."""
    rate = hits / seconds if hits else NONE
    burst = max(1.0, min(hits, rate * COUNTED_FOR)) if hits else NONE
    return replace(
        plan,
        rate=rate,
        burst=burst,
        concurrency_limit=0,
        ceiling_rate=0.0,
        ceiling_burst=0.0,
        ceiling_slack=0.0,
    )


class Part:
    """One check of a descriptor: core.ports.CheckPlace."""

    __slots__ = ("question", "token", "check", "plan", "worth", "told")

    def __init__(
        self, question: Question, check: messages.QuotaCheck, plan: messages.Plan, worth: float
    ) -> None:
        self.question, self.check, self.plan, self.worth = question, check, plan, worth
        self.token: Any = None
        self.told: messages.QuotaGranted | messages.QuotaDenied | str | None = None

    def answer(self, told: messages.QuotaGranted | messages.QuotaDenied | str) -> None:
        self.told = told
        self.question.one_more()

    def grant(self, told: messages.QuotaGranted) -> None:
        self.answer(told)

    def deny(self, told: messages.QuotaDenied) -> None:
        self.answer(told)

    def reject(self, wait: float) -> None:
        self.answer("no room")

    def fail(self) -> None:
        self.answer("failed")

    def complete(self, value: bytes) -> None:
        self.answer("failed")

    @property
    def code(self) -> Code:
        if isinstance(self.told, messages.QuotaGranted):
            return OK
        return OVER if isinstance(self.told, messages.QuotaDenied) and self.told.is_over_quota else UNKNOWN


class Question:
    """One call. `answered` or `failed` is called once, unless `gone` was."""

    def __init__(self, service: RateLimit, answered: Answered, failed: Failed) -> None:
        self.service, self.answered, self.failed = service, answered, failed
        self.parts: list[tuple[Part, ...]] = []  # of each descriptor; none: it is nobody's
        self.left = 0  # answers that are still to come, and one while they are asked for
        self.over = False

    def ask(self) -> None:
        core, front = self.service.core, self.service.front
        self.left = 1 + sum(map(len, self.parts))
        for parts in self.parts:
            for part in parts:
                try:
                    core.submit_check(front, part.check, part)
                except DuplicateRequestError:
                    part.fail()
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
        self.service.counts["called off"] += 1
        for parts in self.parts:
            for part in parts:
                if part.told is None and part.token is not None:
                    self.service.core.on_client_disconnected(part)
        self.give_back()

    def give_back(self) -> None:
        for parts in self.parts:
            for part in parts:
                if isinstance(part.told, messages.QuotaGranted):
                    self.service.core.return_quota(part.check, part.told)

    def tell(self) -> None:
        service, nobodys = self.service, self.service.nobodys
        # Of a descriptor's checks any that is over makes it so; one that nobody could decide says no more.
        codes = [
            parts[0].code
            if len(parts) == 1
            else max((part.code for part in parts), key=RANK.__getitem__)
            if parts
            else nobodys
            for parts in self.parts
        ]
        if OVER in codes:
            overall = OVER
        elif UNKNOWN in codes:  # shed, out of time, no room: nobody can say
            self.give_back()
            service.counts["undecided"] += 1
            self.failed(UNAVAILABLE, "not decided: too much at once, or no time left")
            return
        else:
            overall = OK
        if overall == OVER:
            self.give_back()
        service.counts["ok" if overall == OK else "over"] += 1
        response = pb.RateLimitResponse(overall_code=overall)
        for code, parts in zip(codes, self.parts, strict=True):
            status = response.statuses.add(code=code)
            if parts:
                describe(status, parts)
        if overall == OVER:
            waits = [
                part.told.retry_after
                for parts in self.parts
                for part in parts
                if isinstance(part.told, messages.QuotaDenied) and part.told.is_over_quota
            ]
            if waits and max(waits) > 0:
                response.response_headers_to_add.add(key=WAIT_HEADER, value=str(math.ceil(max(waits) * 1000)))
        elif service.terms.tokens is not None:
            self.give_tokens(response, service.terms.tokens)
        self.answered(response.SerializeToString())

    def give_tokens(self, response: pb.RateLimitResponse, tokens: Tokens) -> None:
        given = []
        for parts in self.parts:
            check = parts[-1].check if parts else None
            if isinstance(check, messages.QuotaReservation) and check.units > 0:
                given.append(
                    tokens.give(Purpose(check.customer, check.plan, check.service_class, check.units))
                )
                response.response_headers_to_add.add(key=TOKEN_HEADER, value=given[-1])
            else:
                given.append("")
        if any(given):
            response.dynamic_metadata[TOKENS] = given


RANK = {OK: 0, UNKNOWN: 1, OVER: 2}


def describe(status: Any, parts: tuple[Part, ...]) -> None:
    """The limit that leaves least, of those that a descriptor was checked by."""
    least: tuple[float, Part, messages.QuotaGranted | messages.QuotaDenied] | None = None
    for part in parts:
        told = part.told
        if part.plan.rate and isinstance(told, messages.QuotaGranted | messages.QuotaDenied):
            left = told.remaining / part.worth
            if least is None or left < least[0]:
                least = left, part, told
    if least is not None:
        left, part, told = least
        status.current_limit.CopyFrom(limit_told(part.plan))
        status.limit_remaining = min(MOST_HITS, math.floor(left))
        whole = max(0, math.floor(told.reset_after))
        status.duration_until_reset.seconds = whole
        status.duration_until_reset.nanos = max(0, int((told.reset_after - whole) * 1e9))


class RateLimit:
    """The service, by `terms`, which may be replaced while it serves."""

    def __init__(self, core: RequestDispatcher, front: object, terms: Terms) -> None:
        self.core, self.front = core, front
        self.terms = terms
        self.ids: Iterator[str] = counted(f"check-{time.monotonic_ns():x}-")
        self.counts: Counter[str] = Counter()

    @property
    def nobodys(self) -> Code:
        return OVER if self.terms.unmapped == "over" else OK

    def call(
        self, message: bytes, timeout: float | None, answered: Answered, failed: Failed
    ) -> Question | None:
        """The question, for `gone`; None: it was answered at once."""
        terms = self.terms
        try:
            request = pb.RateLimitRequest.FromString(message)
        except Exception:  # protobuf's DecodeError, and what odd bytes make of it
            self.no(failed, INTERNAL, "the message cannot be read")
            return None
        count = len(request.descriptors)
        if count > terms.most_descriptors:
            self.no(failed, RESOURCE_EXHAUSTED, f"{count} descriptors: {terms.most_descriptors} at most")
            return None
        if not request.domain or not count:
            self.no(failed, INVALID_ARGUMENT, "a domain and a descriptor are needed")
            return None
        question = Question(self, answered, failed)
        left = (terms.patience if timeout is None else min(timeout, terms.patience)) - RESPONSE_MARGIN_S
        for descriptor in request.descriptors:
            entries = [(entry.key, entry.value) for entry in descriptor.entries]
            whose = terms.mapping.whose(request.domain, entries)
            if whose is None:
                self.counts["nobody's"] += 1
                if terms.unmapped == "error":
                    self.no(failed, INVALID_ARGUMENT, "a descriptor that no rule says whose it is")
                    return None
                question.parts.append(())
                continue
            settings = self.core.settings
            if (settings.gateway_index - whose.first) % settings.gateway_count >= whose.spread:
                # It has no part of that customer's quota and ceiling to spend.
                self.no(
                    failed,
                    FAILED_PRECONDITION,
                    f"this gateway, {settings.gateway_index}, is none of the "
                    f"{whose.spread} from {whose.first} of that customer",
                )
                return None
            # A request that sets none counts one; a descriptor of its own may say 0, which spends nothing.
            own = descriptor.HasField("hits_addend")
            hits = descriptor.hits_addend.value if own else request.hits_addend or 1
            parts = [self.part(question, whose, left, hits)]
            if descriptor.HasField("limit") and terms.override != "ignore":
                seconds = OWN_UNITS.get(descriptor.limit.unit)
                if terms.override == "refuse" or seconds is None:
                    self.no(
                        failed,
                        INVALID_ARGUMENT,
                        "limits of a descriptor's own are not taken here"
                        if seconds
                        else "a descriptor's own limit: SECOND, MINUTE, HOUR or DAY only",
                    )
                    return None
                parts.insert(
                    0, self.limited(question, whose, left, hits, descriptor.limit.requests_per_unit, seconds)
                )
            question.parts.append(tuple(parts))
        question.ask()
        return None if question.over else question

    def no(self, failed: Failed, status: int, text: str) -> None:
        self.counts["not taken"] += 1
        failed(status, text)

    def part(self, question: Question, whose: Whose, left: float, hits: int) -> Part:
        kind = (
            messages.QuotaReservation
            if whose.token and self.terms.tokens is not None
            else messages.QuotaCheck
        )
        check = kind(
            next(self.ids),
            left,
            whose.customer,
            whose.plan,
            whose.cls,
            hits * whose.units,
            whose.first,
            whose.spread,
        )
        return Part(question, check, self.core.settings.plans[whose.plan], whose.units)

    def limited(
        self, question: Question, whose: Whose, left: float, hits: int, most: int, seconds: float
    ) -> Part:
        """The check of a limit that the descriptor brings: a store of its own, by the same leases. It counts
        hits, whatever they are worth."""
        plan = own_plan(self.core.settings.plans[whose.plan], most, seconds)
        check = messages.CustomLimitCheck(
            next(self.ids),
            left,
            f"{whose.customer}/{most}/{seconds}",
            whose.plan,
            whose.cls,
            float(hits),
            whose.first,
            whose.spread,
            limit=plan,
        )
        return Part(question, check, plan, 1.0)


def counted(prefix: str) -> Iterator[str]:
    number = 0
    while True:
        number += 1
        yield f"{prefix}{number}"

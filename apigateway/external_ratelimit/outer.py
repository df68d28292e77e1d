"""The outer service as the core asks it: a request to a descriptor, answers to yes or no, the choice of what
to do while it fails (choice.py), over one channel (client.py). Its protocol is Envoy's
(envoy.service.ratelimit.v3, rls.proto)."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import ssl
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

from envoy.service.ratelimit.v3 import rls_pb2 as pb

from apigateway import messages
from apigateway.external_ratelimit.choice import Ask, Choice, Terms
from apigateway.external_ratelimit.client import Channel, Question
from apigateway.upstream.address import Address, write_address
from apigateway.upstream.rpc import OK, STATUS_NAMES

METHOD = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"
TAKEN = re.compile(r"\{([^{}]*)\}")
YES, NO = pb.RateLimitResponse.OK, pb.RateLimitResponse.OVER_LIMIT
WAIT = "retry-after-ms"  # a header that says when to come back, as our own service gives it

log = logging.getLogger(__name__)

Decided = Callable[[bool, float], None]  # whether it may go on; else s until it may come again


@dataclass(frozen=True, slots=True)
class Asked:
    """Whom to ask, and how. `entries` are (key, value), where a value may take from the request, in braces,
    customer, plan, class, units, and gateway: this one's name. Up to `batch` requests of one turn of the loop
    go in one question: for a service that counts each descriptor by itself."""

    address: Address
    terms: Terms
    domain: str
    entries: tuple[tuple[str, str], ...]
    batch: int = 1
    name: str = ""
    context: ssl.SSLContext | None = field(default=None, compare=False)
    tls: tuple[str, ...] = ()  # the files that the context was made of, and what was in them


@dataclass(slots=True, eq=False)
class Waiting:
    """One request, until it is decided."""

    request: messages.Request
    ask: Ask
    decided: Decided
    batch: Batch | None = None
    over: bool = False


@dataclass(slots=True, eq=False)
class Batch:
    waiting: list[Waiting]
    question: Question | None = None


class Outer:
    """core.ports.Outer."""

    def __init__(self, asked: Asked, gateway: str) -> None:
        self.asked, self.gateway = asked, gateway
        self.choice = Choice(asked.terms)
        self.channel = self.open(asked)
        self.fresh: list[Waiting] = []  # asked about at the end of this turn
        self.counts: Counter[str] = Counter()
        self.state, self.last = "well", ""  # as the log was told; why the last question failed

    @staticmethod
    def open(asked: Asked) -> Channel:
        return Channel(asked.address, asked.context, asked.name, asked.terms.most_waiting)

    def set(self, asked: Asked) -> None:
        """A reload's: another address, or other files for TLS, and the next question goes there."""
        old, self.asked = self.asked, asked
        self.choice.set(asked.terms)
        if (old.address, old.name, old.tls) != (asked.address, asked.name, asked.tls):
            replaced, self.channel = self.channel, self.open(asked)
            replaced.close()

    # core.ports.Outer

    def applies_to(self, request: messages.Request) -> bool:
        return self.choice.wanted(request.plan, request.service_class)

    def check(self, request: messages.Request, left: float, decided: Decided) -> Waiting | None:
        """`decided` is called once, and never before this returned, unless it is called off. None: nobody is
        asked, and it was called already."""
        told = self.choice.choose(monotonic(), left)
        self.note()
        if not isinstance(told, Ask):
            self.counts["refused unasked" if told.refuse else "passed unasked"] += 1
            decided(not told.refuse, told.wait)
            return None
        waiting = Waiting(request, told, decided)
        self.fresh.append(waiting)
        if len(self.fresh) == 1:
            asyncio.get_running_loop().call_soon(self.send)
        return waiting

    def cancel(self, waiting: Waiting) -> None:
        """Its client left, or its time is over."""
        if waiting.over:
            return
        waiting.over = True
        self.choice.left_alone(monotonic(), waiting.ask)
        batch = waiting.batch
        if batch is not None and batch.question is not None and all(one.over for one in batch.waiting):
            self.channel.call_off(batch.question)

    # Questions

    def send(self) -> None:
        fresh, self.fresh = [one for one in self.fresh if not one.over], []
        for n in range(0, len(fresh), self.asked.batch):
            batch = Batch(fresh[n : n + self.asked.batch])
            request = pb.RateLimitRequest(domain=self.asked.domain)
            for waiting in batch.waiting:
                waiting.batch = batch
                self.describe(request, waiting.request)
            if len(batch.waiting) == 1:
                request.hits_addend = hits(batch.waiting[0].request)
            timeout = min(one.ask.timeout for one in batch.waiting)

            def told(status: int, text: str, message: bytes, batch: Batch = batch) -> None:
                self.heard(batch, status, text, message)

            self.counts["questions"] += 1
            batch.question = self.channel.ask(METHOD, request.SerializeToString(), timeout, told)

    def describe(self, request: Any, one: messages.Request) -> None:
        values = {
            "customer": one.customer,
            "plan": one.plan,
            "class": one.service_class,
            "units": f"{one.units:g}",
            "gateway": self.gateway,
        }
        descriptor = request.descriptors.add()
        for key, value in self.asked.entries:
            descriptor.entries.add(key=key, value=TAKEN.sub(lambda found: values[found[1]], value))
        if self.asked.batch > 1:
            descriptor.hits_addend.value = hits(one)

    def heard(self, batch: Batch, status: int, text: str, message: bytes) -> None:
        batch.question = None
        codes, wait, why = self.read(batch, status, text, message)
        now = monotonic()
        for waiting, code in zip(batch.waiting, codes, strict=True):
            if waiting.over:
                continue
            waiting.over = True
            if code in (YES, NO):
                self.choice.answered(now, waiting.ask)
                self.counts["yes" if code == YES else "no"] += 1
                decide(waiting, code == YES, wait if code == NO else 0.0)
            else:
                self.choice.failed(now, waiting.ask)
                self.counts[f"failed: {why}"] += 1
                self.note()
                told = self.choice.unasked(now)
                decide(waiting, not told.refuse, told.wait)
        self.note()

    def read(self, batch: Batch, status: int, text: str, message: bytes) -> tuple[list[int], float, str]:
        """A code for each request, the wait that was told, and why there is none."""
        count = len(batch.waiting)
        if status != OK:
            self.last = text
            return [0] * count, 0.0, STATUS_NAMES.get(status, str(status))
        try:
            response = pb.RateLimitResponse.FromString(message)
        except Exception:  # protobuf's DecodeError, and what odd bytes make of it
            self.last = "an answer that cannot be read"
            return [0] * count, 0.0, "unread"
        if response.overall_code == YES:  # all of it passes, whatever the statuses say
            return [YES] * count, 0.0, ""
        if response.overall_code != NO:
            self.last = "an answer without a code"
            return [0] * count, 0.0, "no code"
        codes = [NO] * count
        if count > 1 and len(response.statuses) == count:
            codes = [YES if one.code == YES else NO for one in response.statuses]
            if NO not in codes:
                codes = [NO] * count
        return codes, told_wait(response), ""

    def note(self) -> None:
        """Tells the log of each turn of its state."""
        if self.choice.state != self.state:
            before, self.state = self.state, self.choice.state
            where = write_address(self.asked.address)
            if self.state == "well":
                log.warning("the outer service at %s answers again", where)
            elif before == "well":
                mode = (
                    "own quotas alone decide"
                    if self.asked.terms.failing == "own"
                    else "what it is to be asked about is refused"
                )
                log.warning("the outer service at %s fails (%s): %s", where, self.last, mode)

    def told(self) -> dict[str, Any]:
        """For `api-gateway ratelimit status`."""
        return {
            "address": write_address(self.asked.address),
            "state": self.choice.state,
            "failing": self.asked.terms.failing,
            "out": self.choice.out,
            "turns": self.choice.turns,
            "last": self.last if self.choice.state != "well" else "",
            "counts": dict(self.counts),
        }

    def close(self) -> None:
        self.channel.close()


def decide(waiting: Waiting, go_on: bool, wait: float) -> None:
    try:
        waiting.decided(go_on, wait)
    except Exception:  # one request must not take those of its batch along
        log.exception("request %s: what it was told could not be taken", waiting.request.request_id)


def hits(request: messages.Request) -> int:
    """Whole hits of a request's units: what is begun counts."""
    return max(1, math.ceil(request.units))


def told_wait(response: Any) -> float:
    """Seconds: of the header that our own service gives, else the longest until a reset."""
    for header in response.response_headers_to_add:
        if header.key.lower() == WAIT and header.value.isdigit():
            return int(header.value) / 1000
    over = [
        one.duration_until_reset
        for one in response.statuses
        if one.code == NO and one.HasField("duration_until_reset")
    ]
    return max((one.seconds + one.nanos / 1e9 for one in over), default=0.0)

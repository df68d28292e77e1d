"""Feeds what happens to the one decision module and carries out what it decides.

Nothing here decides and nothing here knows a socket (`ports`). This file owns the timers and each request's
single final answer. Each event and action of interface.py has its place here, but for Began and Message: no
front knows streams or peers.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from apigateway import messages
from apigateway.core.budget import Budget
from apigateway.core.interfaces import (
    Addresses,
    DecisionModule,
    EndpointSource,
    ExternalRateLimiter,
    InFlightRegistry,
    PluginChain,
    QuotaCheckSink,
    QuotaCounter,
    RequestPlugins,
    ResponseSink,
    Scheduler,
    UpstreamAttempt,
    UpstreamPool,
    UpstreamRequest,
)

if TYPE_CHECKING:
    from apigateway.core.admission import Door

WAY_BACK = 0.03  # s before the client gives up by which the module is to be done
GUARD = 0.01  # s before that by which a request without an answer is failed, whatever the module does
MOST_LEFT = 3600.0  # s; a client that says it will wait for longer is in error

# How each outcome is told to the sink of a request's response.
SINK_METHODS = {
    "served": "complete",
    "refused": "reject",
    "failed": "fail",
    "granted": "grant",
    "denied": "deny",
}

log = logging.getLogger(__name__)


class Clock:
    """Unix time that never steps: hosts' starts and the counter's windows are told in it."""

    def __init__(self) -> None:
        self.zero = time.time() - time.monotonic()

    def __call__(self) -> float:
        return self.zero + time.monotonic()


class InWork(Exception):
    """A request with this id is in work, by this front or another."""


class Nothing:
    """What hosts are sent for a check."""

    body_size = 0

    def encode(self, left: float) -> bytes:
        raise AssertionError("a check goes to no host")


NOTHING = Nothing()


class Work:
    """A request that was taken: where its answer goes, what goes to hosts, and what is out for it."""

    __slots__ = (
        "id",
        "place",
        "order",
        "front",
        "deadline",
        "guard",
        "sends",
        "live",
        "over",
        "hooked",
        "mark",
        "customer",
        "asked",
    )

    def __init__(
        self, id: str, place: ResponseSink, order: UpstreamRequest, front: object, deadline: float
    ) -> None:
        self.id, self.place, self.order, self.front, self.deadline = id, place, order, front, deadline
        self.guard: Any = None
        self.sends = 0
        self.live: dict[int, UpstreamAttempt] = {}
        self.over = False
        self.hooked: RequestPlugins | None = None
        self.mark = -1
        self.customer = ""
        self.asked: Any = None  # what the outer service is asked about it


class Core:
    """`settings` and `module` are the deployment's; `max_open` requests may be in work at once and
    `most_held` bytes of their bodies be held, over all fronts together."""

    def __init__(
        self,
        settings: messages.Settings,
        module: DecisionModule,
        hosts: UpstreamPool,
        counter: QuotaCounter | None,
        loop: Scheduler,
        max_open: int,
        most_held: float,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.settings, self.module, self.hosts, self.counter = settings, module, hosts, counter
        self.membership: EndpointSource | None = None
        self.hooks: PluginChain | None = None
        self.marks: InFlightRegistry | None = None
        self.door: Door | None = None
        self.outer: ExternalRateLimiter | None = None
        self.loop, self.clock = loop, clock or Clock()
        self.open, self.held = Budget(max_open), Budget(most_held)
        self.works: dict[str, Work] = {}
        self.events: deque[messages.Event] = deque()
        self.feeding = self.ready = self.stopping = False
        self.done = asyncio.Event()  # stopping, and nothing is in work
        self.actions: dict[type, Callable[[Any], None]] = {
            messages.ForwardRequest: self.send,
            messages.Reject: self.refuse,
            messages.Fail: self.fail,
            messages.CancelAttempt: self.cancel,
            messages.QuotaGranted: self.granted,
            messages.QuotaDenied: self.denied,
            messages.AddToCounter: self.count,
            messages.SetTimer: self.set_timer,
            messages.CheckHealth: self.probe,
            messages.CloseIdleConnections: lambda a: self.hosts.close_idle_connections(a.endpoint_id),
            messages.FetchEndpoints: lambda _: self.fetch(),
            messages.WatchEndpoints: lambda a: self.watch(a.is_on),
            messages.LogMessage: lambda a: log.info("module: %s", a.text),
        }

    # Fronts

    def join(self, front: object) -> None:
        """A front that has joined has room of its own, which a flood on another cannot take."""
        self.open.join(front)
        self.held.join(front)

    def leave(self, front: object) -> None:
        self.open.leave(front)
        self.held.leave(front)

    def take(
        self, front: object, request: messages.Request, order: UpstreamRequest, place: ResponseSink
    ) -> None:
        """From here on `place` gets exactly one answer, at once where there is no room. `request.left` is how
        long its client waits, less WAY_BACK. Raises InWork, and then nothing was taken."""
        if request.request_id in self.works:
            raise InWork
        room = self.open.free(front) > 0 and self.held.free(front) >= 0
        mark = -1
        if self.marks is not None and request.is_write:  # first: a refusal says that it has not run
            if not room and self.marks.is_held(request.request_id):
                raise InWork
            mark = self.marks.acquire(request.request_id, request.remaining + WAY_BACK) if room else -2
            if mark == -1:
                raise InWork
            if mark < 0:
                place.reject(0.0)
                return
        elif not room:
            place.reject(0.0)
            return
        work = Work(request.request_id, place, order, front, time.monotonic() + request.remaining)
        work.mark, work.customer = mark, request.customer
        place.token = work
        self.works[request.request_id] = work
        self.open.take(front, 1)
        self.held.take(front, order.body_size)
        if order is NOTHING:
            self.feed(request)
        else:
            event = request if self.hooks is None else self.asked(self.hooks, work, request)
            if (
                self.outer is not None
                and isinstance(event, messages.Request)
                and self.outer.applies_to(event)
            ):
                self.ask(self.outer, work, event)
            else:
                self.feed(event)
        if not work.over:  # many are refused at once, and need no guard
            left = work.deadline + WAY_BACK - GUARD - time.monotonic()
            work.guard = self.loop.call_later(max(0.0, left), self.overdue, work)

    def check(self, front: object, check: messages.QuotaCheck, place: QuotaCheckSink) -> None:
        """As `take`, for units that no host is asked for. Neither plug-ins nor an outer service are asked
        about it."""
        self.take(front, check, NOTHING, place)

    def give_back(self, check: messages.QuotaCheck, told: messages.QuotaGranted) -> None:
        """What a check was granted was not used: another of the same question was denied."""
        kind = (
            messages.ReturnReservation
            if isinstance(check, messages.QuotaReservation)
            else messages.ReturnUnits
        )
        self.feed(kind(check.customer, check.units, told.window_index))

    def ask(self, outer: ExternalRateLimiter, work: Work, request: messages.Request) -> None:
        """The module hears of it once the outer service has let it pass, or has failed to say anything and
        settings let it pass then. Until that it holds its place, and its guard answers it in time."""

        def decided(go_on: bool, wait: float) -> None:
            work.asked = None
            if work.over:
                return
            if go_on:
                left = work.deadline - time.monotonic()
                self.feed(replace(request, remaining=left))
            else:
                self.feed(messages.RejectedByPlugin(work.id, wait))

        try:
            work.asked = outer.check(request, request.remaining, decided)
        except Exception:  # one that raises has said nothing
            log.exception("request %s: the outer service could not be asked", work.id)
            if not work.over:
                self.feed(request)

    def in_work(self, id: str, write: bool) -> bool:
        """Whether this id may be running: a refusal, which says that it did not run, would not be true."""
        return id in self.works or (write and self.marks is not None and self.marks.is_held(id))

    def asked(
        self, hooks: PluginChain, work: Work, request: messages.Request
    ) -> messages.Request | messages.RejectedByPlugin:
        """What the plug-ins make of a request; the request itself where they raise."""
        try:
            work.hooked, event = hooks.on_request(request)
            return event
        except Exception:
            log.exception("request %s: plug-ins", work.id)
            return request

    def gone(self, place: ResponseSink) -> None:
        """The client went away: nothing more is sent for its request, and nobody is answered."""
        work = place.token
        if work is not None and not work.over:
            self.finish(work, "gone")
            self.feed(messages.ClientDisconnected(work.id))

    # Events

    def feed(self, event: messages.Event) -> None:
        """Hands events over one after another: what an action causes at once waits its turn. But the end of a
        request goes before all that waits, so that nothing is decided for it any more."""
        if isinstance(event, messages.ClientDisconnected):
            self.events.appendleft(event)
        else:
            self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.feeding = False

    def handle(self, event: messages.Event) -> None:
        try:
            actions = self.module.handle(self.clock(), event)
        except Exception:  # one request must not take the others along
            log.exception("the module failed on %s", type(event).__name__)
            if (
                isinstance(event, messages.Request | messages.RejectedByPlugin | messages.AttemptOutcome)
                and event.request_id in self.works
            ):
                self.abandon(self.works[event.request_id])
            return
        for action in actions:
            try:
                self.actions[type(action)](action)
            except Exception:  # nor one action the rest; the guard answers what it was for
                log.exception("%r could not be carried out", action)

    def abandon(self, work: Work) -> None:
        """Fails a request by itself and lets the module forget it."""
        self.finish(work, "failed")
        for attempt in list(work.live.values()):
            self.hosts.abandon(attempt, "cancelled")
        self.feed(messages.ClientDisconnected(work.id))

    def overdue(self, work: Work) -> None:
        """Guards the client's deadline against a module that says nothing."""
        if not work.over:
            log.warning("request %s: no decision before its deadline", work.id)
            self.abandon(work)

    def finish(self, work: Work, outcome: str, *told: Any) -> None:
        """The one place where a request gets its final answer: served, refused or failed, a check granted or
        denied, the calls of its place; gone: nobody is there to hear it."""
        if work.over:
            return
        work.over = True
        if work.guard is not None:
            work.guard.cancel()
        if work.asked is not None and self.outer is not None:
            self.outer.cancel(work.asked)
            work.asked = None
        if outcome != "gone":
            try:
                getattr(work.place, SINK_METHODS[outcome])(*told)
            except Exception:  # a front that fails must not keep what it gave up from being cleared away
                log.exception("request %s: its front could not answer", work.id)
        for attempt in list(work.live.values()):
            if not attempt.is_written:  # after the final answer nothing more is sent
                self.hosts.abandon(attempt, "cancelled")
        if work.hooked is not None:
            try:
                work.hooked.on_end(outcome)
            except Exception:
                log.exception("request %s: plug-ins", work.id)
        self.forget(work)

    def forget(self, work: Work) -> None:
        if work.over and not work.live and self.works.pop(work.id, None) is not None:
            self.open.give(work.front, 1)
            self.held.give(work.front, work.order.body_size)
            if self.marks is not None and work.mark >= 0:
                self.marks.release(work.mark)
            if self.stopping and not self.works:
                self.done.set()

    # Membership

    def listed(self, hosts: messages.EndpointList, addresses: Addresses) -> None:
        """The module hears of it between new hosts and those that go: what ends with a host that goes is then
        not sent there once more."""
        up = {h.id for h in hosts.endpoints if h.state == "up"}
        for host in up & addresses.keys():
            self.hosts.update_endpoint(host, addresses[host])
        self.feed(hosts)
        named = {h.id for h in hosts.endpoints}
        for host in (named if hosts.mode == "delta" else named | self.hosts.known_endpoints()) - up:
            self.hosts.update_endpoint(host, None)
        self.ready = self.ready or bool(self.hosts.known_endpoints())

    def list_failed(self) -> None:
        if self.settings.discovery_mode == "ask" and self.membership is not None:
            self.feed(messages.EndpointList("failed", self.membership.version, ()))

    def fetch(self) -> None:
        if self.membership is not None:
            self.membership.fetch()

    def watch(self, on: bool) -> None:
        if self.membership is not None:
            self.membership.watch(on)

    # Actions

    def refuse(self, action: messages.Reject) -> None:
        work = self.works.get(action.request_id)
        if work is not None:
            if self.door is not None and action.retry_after > 0:
                self.door.told(work.customer, action.retry_after)
            self.finish(work, "refused", action.retry_after)

    def fail(self, action: messages.Fail) -> None:
        work = self.works.get(action.request_id)
        if work is not None:
            self.finish(work, "failed")

    def granted(self, action: messages.QuotaGranted) -> None:
        work = self.works.get(action.request_id)
        if work is not None:
            self.finish(work, "granted", action)

    def denied(self, action: messages.QuotaDenied) -> None:
        work = self.works.get(action.request_id)
        if work is not None:
            if self.door is not None and action.retry_after > 0:
                self.door.told(work.customer, action.retry_after)
            self.finish(work, "denied", action)

    def send(self, action: messages.ForwardRequest) -> None:
        work = self.works.get(action.request_id)
        if work is None:
            return
        number, left = work.sends, work.deadline - time.monotonic()
        work.sends += 1
        limits = self.settings.limits
        # Over: its end crossed this. The module is told, or it would count one out at that host for good.
        unable = work.over or number >= limits.max_attempts or (work.live and not limits.can_hedge)
        if work.hooked is not None and left > 0 and not unable:
            left = self.told(work, action.endpoint_id)
        if left <= 0 or unable:
            self.feed(messages.AttemptOutcome(work.id, number, action.endpoint_id, "moot", 0.0, work.over))
            return
        wait = min(left, action.timeout) if action.timeout > 0 else left
        attempt = self.hosts.create_attempt(
            action.endpoint_id, work.order.encode(wait), self.attempt_done, (work, number)
        )
        work.live[number] = attempt
        self.hosts.send(attempt, wait)

    def told(self, work: Work, host: str) -> float:
        """Plug-ins hear of an attempt before it is sent. What is left, in seconds, when they have."""
        try:
            if work.hooked is not None:
                work.hooked.on_attempt(host)
        except Exception:
            log.exception("request %s: plug-ins", work.id)
        return work.deadline - time.monotonic()

    def attempt_done(self, attempt: UpstreamAttempt) -> None:
        work, number = attempt.tag
        result, over = attempt.result, work.over
        del work.live[number]
        if over and result == "connect_failed":
            result = "moot"  # called off before it was sent, which says nothing of the host
        elif result == "ok" and not over:
            self.finish(work, "served", attempt.value)
        self.forget(work)
        self.feed(
            messages.AttemptOutcome(
                work.id,
                number,
                attempt.endpoint_id,
                result,
                attempt.elapsed(),
                work.over,
                metered_use=attempt.metered_use,
                load_report=attempt.load_report,
            )
        )

    def cancel(self, action: messages.CancelAttempt) -> None:
        work = self.works.get(action.request_id)
        if work is not None and action.attempt in work.live:
            self.hosts.abandon(work.live[action.attempt], "cancelled")

    def probe(self, action: messages.CheckHealth) -> None:
        self.hosts.check_health(action.endpoint_id, self.probed)

    def probed(self, attempt: UpstreamAttempt) -> None:
        self.feed(
            messages.HealthCheckResult(
                attempt.endpoint_id, attempt.result, attempt.elapsed(), attempt.load_report
            )
        )

    def count(self, action: messages.AddToCounter) -> None:
        if self.counter is None:
            self.loop.call_soon(self.counted, action.counter_key, "connect_failed", 0.0, 0.0)
        else:
            self.counter.add(action.counter_key, action.amount, action.lifetime, self.counted)

    def counted(self, name: int, result: str, total: float, elapsed: float) -> None:
        self.feed(messages.CounterResult(name, result, total, elapsed))

    def set_timer(self, action: messages.SetTimer) -> None:
        self.loop.call_later(action.delay, self.due, action.label, self.clock() + action.delay)

    def due(self, label: int, at: float) -> None:
        """The loop's timers tick in milliseconds and may fire early; the module would take an early one for
        another and set no further."""
        left = at - self.clock()
        if left > 0:
            self.loop.call_later(left + 0.001, self.due, label, at)
        else:
            self.feed(messages.TimerExpired(label))

    # The end

    async def drain(self, seconds: float) -> None:
        """Waits until all that was taken is answered, and fails what is not by then."""
        if not self.works:
            return
        self.done.clear()
        try:
            async with asyncio.timeout(seconds):
                await self.done.wait()
        except TimeoutError:
            for work in list(self.works.values()):
                self.abandon(work)

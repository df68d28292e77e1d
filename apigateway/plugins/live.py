"""Plug-ins in service: core.ports.Hooks. Which version is in force, its swap, the ticks, the records."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from apigateway import messages
from apigateway.plugins.proposals import Standing
from apigateway.plugins.records import Recorder
from apigateway.plugins.terms import ANSWER, ATTEMPT, REQUEST, PluginFailed, View
from apigateway.plugins.version import Version

NOTICED = 0.001  # s that plug-ins took, from which on the module is told that less time is left

log = logging.getLogger(__name__)


class SwapRefused(Exception):
    """The new version could not take the old one's state; the old stays. `name` is the plug-in's."""

    def __init__(self, name: str, reason: str) -> None:
        self.name, self.reason = name, reason
        super().__init__(f"plug-in {name}: {reason}")


class Scheduler(Protocol):
    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Any: ...


class Hooked:
    """One request's way through the version that it began with."""

    __slots__ = ("hooks", "version", "view", "standing", "hosts", "began")

    def __init__(self, hooks: Hooks, version: Version, view: View, standing: Standing, began: float) -> None:
        self.hooks, self.version, self.view, self.standing, self.began = hooks, version, view, standing, began
        self.hosts: list[str] = []

    def on_attempt(self, host: str) -> None:
        """An attempt is about to be sent."""
        now = time.monotonic()
        self.standing.attempts.append({})
        self.hosts.append(host)
        if self.version.by_phase[ATTEMPT]:
            view = self.view
            view.host, view.attempt, view.now = host, len(self.hosts) - 1, self.hooks.clock()
            view.left -= now - self.began - view.elapsed
            view.elapsed = now - self.began
            self.version.ask(ATTEMPT, view, self.standing, now)

    def on_end(self, outcome: str) -> None:
        """The final answer was given, or nobody is there to hear it. Called once."""
        now, view, standing = time.monotonic(), self.view, self.standing
        standing.over = True
        view.outcome, view.elapsed, view.attempt, view.host = outcome, now - self.began, len(self.hosts), ""
        view.now = self.hooks.clock()
        try:
            if self.version.by_phase[ANSWER]:
                self.version.ask(ANSWER, view, standing, now)
            if self.hooks.recorder is not None:
                self.hooks.recorder.note(view, standing, self.hosts)
        finally:
            self.version.end()


class Hooks:
    """`clock` gives Unix time, `tick` is in seconds."""

    def __init__(
        self,
        version: Version,
        clock: Callable[[], float],
        loop: Scheduler,
        tick: float,
        recorder: Recorder | None = None,
    ) -> None:
        self.version, self.clock, self.loop, self.period, self.recorder = version, clock, loop, tick, recorder
        self.old: set[Version] = set()  # replaced, with requests that are not over
        self.timer: Any = None
        self.swaps = 0
        self.retired = False

    def start(self) -> None:
        self.timer = self.loop.call_later(self.period, self.tick)

    def tick(self) -> None:
        self.start()
        try:
            self.version.tick(self.clock(), time.monotonic())
        except Exception:
            log.exception("plug-ins: tick")

    def on_request(
        self, request: messages.Request
    ) -> tuple[Hooked, messages.Request | messages.RejectedByPlugin]:
        """The request as the decision module is to hear of it, or that it is barred."""
        version, began = self.version, time.monotonic()
        standing = Standing()
        view = View(
            request.request_id,
            request.customer,
            request.plan,
            request.service_class,
            request.units,
            request.remaining,
            self.clock(),
            request.is_write,
            request.is_retry,
            standing.tags,
        )
        hooked = Hooked(self, version, view, standing, began)
        version.begin()
        wait = version.ask(REQUEST, view, standing, began) if version.by_phase[REQUEST] else None
        if wait is not None:
            return hooked, messages.RejectedByPlugin(request.request_id, wait)
        spent = time.monotonic() - began
        if spent > NOTICED or standing.route:
            request = replace(
                request,
                route=standing.route,
                remaining=request.remaining - (spent if spent > NOTICED else 0.0),
            )
        return hooked, request

    # The swap: all that can fail comes before anything changes

    def swap(self, version: Version, tick: float | None = None) -> None:
        """Requests taken from now on begin with `version`. Raises SwapRefused."""
        old = self.version
        kept = {seat.name: seat for seat in old.seats}
        for seat in version.seats:
            before = kept.get(seat.name)
            if before is None or before is seat:
                continue
            state = saved(before.name, before.plugin)
            if state is None:
                continue
            try:
                seat.plugin.load(state)
            except Exception as err:
                raise SwapRefused(seat.name, f"could not take the state of the one before: {err}") from err
        self.version, self.swaps = version, self.swaps + 1
        self.period = tick or self.period
        version.number = old.number + 1
        if old.open:
            self.old.add(old)
            old.leaving = self.gone
        else:
            self.gone(old)

    def gone(self, version: Version) -> None:
        """A replaced version's last request has ended. What another version has taken over stays."""
        self.old.discard(version)
        others = self.old if self.retired else {self.version, *self.old}
        used = {seat for other in others for seat in other.seats}
        for seat in version.seats:
            if seat not in used:
                seat.plugin.close()
        if self.retired and not self.old and self.recorder is not None:
            self.recorder.finish()

    def told(self) -> dict[str, Any]:
        """For operators. Times in seconds."""
        now = time.monotonic()
        return {
            "version": self.version.number,
            "requests": self.version.open,
            "older versions": {str(v.number): v.open for v in self.old},
            "plugins": [seat.told(now) for seat in self.version.seats],
            "records": self.recorder.figures() if self.recorder is not None else None,
        }

    def retire(self) -> None:
        """No plug-ins any more: what it holds goes with its last request."""
        if self.timer is not None:
            self.timer.cancel()
        self.period, self.retired = 0.0, True
        if self.version.open:
            self.old.add(self.version)
            self.version.leaving = self.gone
        else:
            self.gone(self.version)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        for version in (self.version, *self.old):
            version.close()
        if self.recorder is not None:
            self.recorder.close()


def saved(name: str, plugin: Any) -> bytes | None:
    """What a plug-in that is replaced would carry over. One that fails at that is replaced all the same: it
    may be
    for its failures that it is."""
    try:
        state: bytes | None = plugin.save()
    except PluginFailed as err:
        log.warning("plug-in %s: its state is lost (%s)", name, err)
        return None
    return state

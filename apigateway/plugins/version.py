"""One version of all plug-ins: asked in turn about each request, within budgets; what they say is judged
before it
counts. A request ends on the version that it began with.
"""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from apigateway.plugins.guard import Guard
from apigateway.plugins.proposals import Allowance, Allowed, Standing, judge
from apigateway.plugins.terms import PHASES, REQUEST, TICK, Budget, Plugin, PluginFailed, Proposal, View

log = logging.getLogger(__name__)

NOTED = 10.0  # s between two lines of the log on the same plug-in's failures


class Seat:
    """One plug-in in its place: what it used, how it failed, whether it is asked now."""

    def __init__(self, name: str, plugin: Plugin, budget: Budget, digest: str, now: float) -> None:
        self.name, self.plugin, self.budget, self.digest = name, plugin, budget, digest
        self.guard = Guard(budget, now)
        self.calls: Counter[str] = Counter()  # by phase
        self.failed: Counter[str] = Counter()  # by reason
        self.passed: Counter[str] = Counter()  # it was not asked, by why
        self.allowed: Counter[str] = Counter()  # by verb
        self.denied: Counter[str] = Counter()  # by verb and reason
        self.used = 0.0  # s of CPU
        self.heavy = plugin.kind == "wasm"
        self.noted = -NOTED

    def ask(self, phase: str, view: View, now: float) -> tuple[list[Proposal], str]:
        """What it proposes; or why it could not be asked."""
        why = self.guard.may(now)
        if why:
            self.passed[why] += 1
            return [], why
        self.calls[phase] += 1
        said: list[Proposal] = []
        # What the machine takes from the gateway is not a plug-in's doing: CPU of the thread, where a call is
        # long enough for its price (a system call) to matter little. A rule ends within microseconds.
        clock = time.thread_time if self.heavy else time.monotonic
        began = clock()
        try:
            said = self.plugin.call(phase, view)
        except PluginFailed as err:
            why = self.failing(err.reason, str(err), now)
        except Exception as err:  # a plug-in's every fault ends here
            why = self.failing("error", f"{type(err).__name__} {err}", now)
        spent = clock() - began
        if not why and spent > 2 * self.budget.time:  # what cannot be interrupted is at least seen
            why = self.failing("time", f"{spent * 1000:.0f} ms", now)
        self.used += spent
        self.guard.note(now, spent, bool(why))
        return ([], why) if why else (said, "")

    def failing(self, reason: str, text: str, now: float) -> str:
        self.failed[reason] += 1
        if now - self.noted >= NOTED:
            self.noted = now
            log.warning("plug-in %s failed (%s)", self.name, text[:300])
        return reason

    def note(self, allowed: Allowed) -> None:
        if allowed.tags:
            self.allowed["tag"] += len(allowed.tags)
        if allowed.refuse is not None:
            self.allowed["refuse"] += 1
        if allowed.route:
            self.allowed["route"] += 1
        for verb, reason in allowed.denied:
            self.denied[f"{verb}: {reason}"] += 1

    def told(self, now: float) -> dict[str, Any]:
        """For operators."""
        state = self.guard.state
        return {
            "name": self.name,
            "kind": self.plugin.kind,
            "digest": self.digest[:12],
            "phases": [phase for phase in PHASES if phase in self.plugin.phases],
            "state": state,
            "back in": round(self.guard.wait(now), 3) if state == "out" else 0.0,
            "calls": dict(self.calls),
            "cpu": self.used,
            "failed": dict(self.failed),
            "not asked": dict(self.passed),
            "allowed": dict(self.allowed),
            "denied": dict(self.denied),
            "counters": dict(self.plugin.counters()),
            **self.plugin.figures(),
        }


class Version:
    """`chain` is how long all plug-ins together may hold one request up, in s. `number` counts from 1."""

    def __init__(self, seats: list[Seat], allowance: Allowance, chain: float = 0.02, number: int = 1) -> None:
        self.seats, self.allowance, self.chain, self.number = seats, allowance, chain, number
        self.open = 0  # requests that began with it and are not over
        # it was replaced: who is told when the last ends
        self.leaving: Callable[[Version], None] | None = None
        self.by_phase = {phase: [seat for seat in seats if phase in seat.plugin.phases] for phase in PHASES}

    def begin(self) -> None:
        self.open += 1

    def end(self) -> None:
        self.open -= 1
        if not self.open and self.leaving is not None:
            self.leaving(self)

    def ask(self, phase: str, view: View, standing: Standing, now: float) -> float | None:
        """Asks all of a phase in turn. A refusal ends it: the wait that it names, in seconds."""
        until = now + self.chain
        said: list[Proposal]
        first = True
        for seat in self.by_phase[phase]:
            late, first = not first and time.monotonic() > until, False
            if late:
                why, said = "chain", []
                seat.passed[why] += 1
            else:
                said, why = seat.ask(phase, view, now)
            if why:
                if phase == REQUEST and seat.budget.past == "refuse":
                    seat.allowed["refuse past budget"] += 1
                    standing.by = seat.name
                    return min(seat.guard.wait(now), self.allowance.max_wait)
                continue
            if not said:
                continue
            allowed = judge(phase, said, standing, self.allowance)
            seat.note(allowed)
            if allowed.tags or allowed.route:
                standing.take(phase, allowed)
                view.route = standing.route
            if allowed.refuse is not None:
                standing.by = seat.name
                return allowed.refuse
        return None

    def tick(self, unix: float, now: float) -> None:
        if self.by_phase[TICK]:
            self.ask(TICK, View(now=unix), Standing(over=True), now)

    def close(self) -> None:
        for seat in self.seats:
            seat.plugin.close()

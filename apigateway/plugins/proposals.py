"""What a plug-in proposed, turned into what the rules allow. Pure: no I/O, no clock, nothing is changed here.

No verb reaches a request's class, customer, plan, deadline, units, id or host, nor sends, repeats or holds
it:
those are named in FIXED only so that an attempt at them is counted by name. What is not allowed has no effect
and is told with its reason.
"""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from dataclasses import dataclass, field

from apigateway.plugins.terms import ATTEMPT, REQUEST, TICK, Proposal

MOST_PROPOSALS = 64  # of one call; the rest is dropped unread
MOST_VALUE = 128  # characters of a tag's value
KEY = re.compile(r"[a-z][a-z0-9_.-]{0,31}")
FIXED = frozenset(
    (
        "class",
        "customer",
        "plan",
        "deadline",
        "left",
        "host",
        "units",
        "id",
        "effect",
        "send",
        "retry",
        "cancel",
        "hold",
        "serve",
        "drain",
        "write",
        "repeat",
    )
)
# Why a proposal is not allowed, as operators read it.
REASONS = (
    "over",
    "wrong phase",
    "fixed",
    "unknown",
    "bad key",
    "bad value",
    "set already",
    "too many tags",
    "too many bytes",
    "unknown route",
    "routed already",
    "wait cut",
    "too many",
)


@dataclass(frozen=True, slots=True)
class Allowance:
    """`routes`: that settings have. `max_wait` in seconds, of a refusal; 0 where refusals tell none."""

    routes: frozenset[str] = frozenset()
    max_tags: int = 8
    max_tag_bytes: int = 512
    max_wait: float = 0.0


@dataclass(slots=True)
class Standing:
    """What has been allowed for one request so far, by all plug-ins together."""

    tags: dict[str, str] = field(default_factory=dict)
    attempts: list[dict[str, str]] = field(default_factory=list)  # tags of each attempt
    count: int = 0  # of tags, those of attempts too
    bytes: int = 0
    route: str = ""
    by: str = ""  # the plug-in that had it refused
    over: bool = False

    def take(self, phase: str, allowed: Allowed) -> None:
        place = self.attempts[-1] if phase == ATTEMPT else self.tags
        for key, value in allowed.tags.items():
            place[key] = value
            self.count += 1
            self.bytes += weight(key, value)
        self.route = allowed.route or self.route


@dataclass(slots=True)
class Allowed:
    tags: dict[str, str] = field(default_factory=dict)
    refuse: float | None = None  # s until the client may come back
    route: str = ""
    denied: list[tuple[str, str]] = field(default_factory=list)  # verb, reason


def weight(key: str, value: str) -> int:
    return len(key) + (len(value) if value.isascii() else len(value.encode("utf-8", "replace")))


def judge(phase: str, proposals: Sequence[Proposal], standing: Standing, allowance: Allowance) -> Allowed:
    allowed = Allowed()
    count, size = standing.count, standing.bytes
    set_already = standing.attempts[-1] if phase == ATTEMPT and standing.attempts else standing.tags
    for verb, one, two in proposals[:MOST_PROPOSALS]:
        why = ""
        if verb in FIXED:
            why = "fixed"
        elif verb not in ("tag", "refuse", "route"):
            verb, why = "other", "unknown"
        elif standing.over:
            why = "over"
        elif phase == TICK or phase != REQUEST and (verb != "tag" or phase != ATTEMPT):
            why = "wrong phase"
        elif verb == "tag":
            more = size + weight(one, two)
            if not KEY.fullmatch(one):
                why = "bad key"
            elif len(two) > MOST_VALUE or not two.isprintable():
                why = "bad value"
            elif one in set_already or one in allowed.tags:
                why = "set already"
            elif count >= allowance.max_tags:
                why = "too many tags"
            elif more > allowance.max_tag_bytes:
                why = "too many bytes"
            else:
                allowed.tags[one] = two
                count, size = count + 1, more
        elif verb == "route":
            if one not in allowance.routes:
                why = "unknown route"
            elif (standing.route or allowed.route) not in ("", one):
                why = "routed already"
            else:
                allowed.route = one
        elif allowed.refuse is None:
            allowed.refuse, cut = waited(one, allowance.max_wait)
            why = "wait cut" if cut else ""
        if why:
            allowed.denied.append((verb, why))
    allowed.denied += [("other", "too many")] * (len(proposals) > MOST_PROPOSALS)
    return allowed


def waited(text: str, most: float) -> tuple[float, bool]:
    """A refusal stands, whatever wait it names; that one is cut to what refusals may tell."""
    try:
        told = float(text)
    except ValueError:
        return 0.0, True
    if math.isnan(told):
        return 0.0, True
    wait = min(max(told, 0.0), most)
    return wait, wait != told

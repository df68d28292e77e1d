"""Judges what a plug-in proposed: what of it takes effect, and what is denied with which reason.

Pure: no I/O, no clock, nothing is changed here. No verb reaches a request's class, customer, plan, deadline,
units, id or host, nor sends, repeats or holds it: such verbs are known only so that an attempt at them is
counted by name.
"""

from __future__ import annotations

import enum
import math
import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from apigateway.plugins.interfaces import Phase, Proposal, Verb

MAX_PROPOSALS = 64  # of one call; the rest is dropped unread
MAX_TAG_VALUE_LENGTH = 128  # characters
TAG_KEY_PATTERN = re.compile(r"[a-z][a-z0-9_.-]{0,31}")

# Nothing that a plug-in may change: these verbs are denied and counted by name.
FORBIDDEN_VERBS = frozenset(
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

_VERBS = frozenset(Verb)
_UNKNOWN_VERB = "other"  # in place of a verb that nobody knows: counts by verb must stay bounded
_ALLOWED_VERBS: dict[Phase, frozenset[str]] = {
    Phase.REQUEST: _VERBS,
    Phase.ATTEMPT: frozenset((Verb.TAG,)),
    Phase.ANSWER: frozenset(),
    Phase.TICK: frozenset(),
}

# Globals, for they are needed at each call: a member costs more to look up on its class.
_ATTEMPT = Phase.ATTEMPT
_TAG = Verb.TAG
_ROUTE = Verb.ROUTE


class DenialReason(enum.StrEnum):
    """Why a proposal has no effect. The values are those of statuses."""

    REQUEST_OVER = "over"
    WRONG_PHASE = "wrong phase"
    FORBIDDEN = "fixed"
    UNKNOWN_VERB = "unknown"
    BAD_KEY = "bad key"
    BAD_VALUE = "bad value"
    ALREADY_TAGGED = "set already"
    TOO_MANY_TAGS = "too many tags"
    TOO_MANY_BYTES = "too many bytes"
    UNKNOWN_ROUTE = "unknown route"
    ALREADY_ROUTED = "routed already"
    WAIT_CUT = "wait cut"  # the request is rejected, with another wait than the plug-in named
    TOO_MANY_PROPOSALS = "too many"


class Denial(NamedTuple):
    """A proposal without effect."""

    verb: str
    reason: DenialReason


@dataclass(frozen=True, slots=True)
class ProposalLimits:
    """What plug-ins may propose here.

    Attributes:
        routes: The names of those that settings have.
        max_tags: Of a request, by all plug-ins together.
        max_tag_bytes: Of a request's keys and values together.
        max_retry_after: Longest wait of a rejection in seconds; 0 where rejections tell none.
    """

    routes: frozenset[str] = frozenset()
    max_tags: int = 8
    max_tag_bytes: int = 512
    max_retry_after: float = 0.0


@dataclass(slots=True)
class Verdict:
    """What of one call's proposals takes effect, and what does not.

    Attributes:
        tag_bytes: What `tags` come to.
        retry_after: Seconds until the client of a rejected request may retry; None: not rejected.
    """

    tags: dict[str, str] = field(default_factory=dict)
    tag_bytes: int = 0
    retry_after: float | None = None
    route: str = ""
    denied: list[Denial] = field(default_factory=list)


@dataclass(slots=True)
class RequestEffects:
    """What has taken effect on one request so far, by all plug-ins together.

    Attributes:
        attempt_tags: The tags of each attempt.
        tag_count: Of the request's tags and its attempts' together, as `tag_bytes`.
        rejected_by: The plug-in that had the request rejected.
    """

    tags: dict[str, str] = field(default_factory=dict)
    attempt_tags: list[dict[str, str]] = field(default_factory=list)
    tag_count: int = 0
    tag_bytes: int = 0
    route: str = ""
    rejected_by: str = ""
    is_over: bool = False

    def apply(self, phase: Phase, verdict: Verdict) -> None:
        """Add tags and route of a verdict."""
        tags = self.attempt_tags[-1] if phase == _ATTEMPT else self.tags
        tags.update(verdict.tags)
        self.tag_count += len(verdict.tags)
        self.tag_bytes += verdict.tag_bytes
        self.route = verdict.route or self.route

    def tags_of(self, phase: Phase) -> dict[str, str]:
        """Return the tags that a phase adds to: the last attempt's or the request's."""
        if phase == _ATTEMPT and self.attempt_tags:
            return self.attempt_tags[-1]
        return self.tags


def tag_size(key: str, value: str) -> int:
    """Return the bytes that a tag is counted with."""
    return len(key) + (len(value) if value.isascii() else len(value.encode("utf-8", "replace")))


def evaluate(
    phase: Phase, proposals: Sequence[Proposal], effects: RequestEffects, limits: ProposalLimits
) -> Verdict:
    """Return what of one call's proposals takes effect on a request."""
    verdict = Verdict()
    allowed_verbs = _ALLOWED_VERBS[phase]
    for proposal in proposals[:MAX_PROPOSALS]:
        verb = proposal.verb
        if verb in FORBIDDEN_VERBS:
            reason: DenialReason | None = DenialReason.FORBIDDEN
        elif verb not in _VERBS:
            verb = _UNKNOWN_VERB
            reason = DenialReason.UNKNOWN_VERB
        elif effects.is_over:
            reason = DenialReason.REQUEST_OVER
        elif verb not in allowed_verbs:
            reason = DenialReason.WRONG_PHASE
        elif verb == _TAG:
            reason = _evaluate_tag(proposal, effects.tags_of(phase), effects, limits, verdict)
        elif verb == _ROUTE:
            reason = _evaluate_route(proposal.argument, effects, limits, verdict)
        else:
            reason = _evaluate_rejection(proposal.argument, limits, verdict)
        if reason is not None:
            verdict.denied.append(Denial(verb, reason))
    if len(proposals) > MAX_PROPOSALS:
        verdict.denied.append(Denial(_UNKNOWN_VERB, DenialReason.TOO_MANY_PROPOSALS))
    return verdict


def _evaluate_tag(
    proposal: Proposal,
    existing_tags: dict[str, str],
    effects: RequestEffects,
    limits: ProposalLimits,
    verdict: Verdict,
) -> DenialReason | None:
    _, key, value = proposal
    size = verdict.tag_bytes + tag_size(key, value)
    reason: DenialReason | None = None
    if not TAG_KEY_PATTERN.fullmatch(key):
        reason = DenialReason.BAD_KEY
    elif len(value) > MAX_TAG_VALUE_LENGTH or not value.isprintable():
        reason = DenialReason.BAD_VALUE
    elif key in existing_tags or key in verdict.tags:
        reason = DenialReason.ALREADY_TAGGED
    elif effects.tag_count + len(verdict.tags) >= limits.max_tags:
        reason = DenialReason.TOO_MANY_TAGS
    elif effects.tag_bytes + size > limits.max_tag_bytes:
        reason = DenialReason.TOO_MANY_BYTES
    else:
        verdict.tags[key] = value
        verdict.tag_bytes = size
    return reason


def _evaluate_route(
    route: str, effects: RequestEffects, limits: ProposalLimits, verdict: Verdict
) -> DenialReason | None:
    if route not in limits.routes:
        return DenialReason.UNKNOWN_ROUTE
    if (effects.route or verdict.route) not in ("", route):
        return DenialReason.ALREADY_ROUTED
    verdict.route = route
    return None


def _evaluate_rejection(text: str, limits: ProposalLimits, verdict: Verdict) -> DenialReason | None:
    """A rejection stands, whatever wait it names; that one is cut to what rejections may tell."""
    if verdict.retry_after is not None:
        return None
    try:
        proposed = float(text)
    except ValueError:
        proposed = math.nan
    if math.isnan(proposed):
        verdict.retry_after = 0.0
        return DenialReason.WAIT_CUT
    verdict.retry_after = min(max(proposed, 0.0), limits.max_retry_after)
    return DenialReason.WAIT_CUT if verdict.retry_after != proposed else None

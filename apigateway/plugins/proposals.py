"""Decides which proposals of a plug-in take effect, and why the others are denied.

Evaluation is free of I/O, clocks and side effects. No verb can change a request's class, customer, plan,
deadline, units, id or host, and none can send, repeat or hold a request. Verbs for that are listed only so
that attempts to use them are counted by name.
"""

from __future__ import annotations

import enum
import math
import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from apigateway.plugins.interfaces import Phase, Proposal, Verb

MAX_PROPOSALS = 64  # of one call; further ones are ignored
MAX_TAG_VALUE_CHARACTERS = 128
TAG_KEY_PATTERN = re.compile(r"[a-z][a-z0-9_.-]{0,31}")

# Verbs that no plug-in may use; they are denied and counted by name.
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
_UNKNOWN_VERB = "other"  # replaces unknown verbs, so that the number of counters by verb is bounded
_ALLOWED_VERBS: dict[Phase, frozenset[str]] = {
    Phase.REQUEST: _VERBS,
    Phase.ATTEMPT: frozenset((Verb.TAG,)),
    Phase.ANSWER: frozenset(),
    Phase.TICK: frozenset(),
}

# Module globals, because they are used at each call and an enum member is slower to look up on its class.
_ATTEMPT = Phase.ATTEMPT
_TAG = Verb.TAG
_ROUTE = Verb.ROUTE


class DenialReason(enum.StrEnum):
    """Why a proposal was denied. The values are part of status reports."""

    REQUEST_FINISHED = "over"
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
    RETRY_AFTER_CLAMPED = "wait cut"  # the request is rejected, but with another retry time than proposed
    TOO_MANY_PROPOSALS = "too many"


class Denial(NamedTuple):
    """A denied proposal: its verb and the reason."""

    verb: str
    reason: DenialReason


@dataclass(frozen=True, slots=True)
class ProposalLimits:
    """Limits on the proposals of plug-ins.

    Attributes:
        routes: Names of the configured routes.
        max_tags: Largest number of tags on a request, from all plug-ins together.
        max_tag_bytes: Largest total size of a request's tag keys and values.
        max_retry_after: Longest retry time of a rejection in seconds; 0 if rejections have none.
    """

    routes: frozenset[str] = frozenset()
    max_tags: int = 8
    max_tag_bytes: int = 512
    max_retry_after: float = 0.0


@dataclass(slots=True)
class Verdict:
    """The allowed and the denied proposals of one call.

    Attributes:
        tags: Tags to set.
        tag_bytes: Total size of `tags`.
        retry_after: Seconds until the client of a rejected request may retry; None if it is not rejected.
        route: Route to select; empty if none.
        denied: Denied proposals.
    """

    tags: dict[str, str] = field(default_factory=dict)
    tag_bytes: int = 0
    retry_after: float | None = None
    route: str = ""
    denied: list[Denial] = field(default_factory=list)


@dataclass(slots=True)
class RequestEffects:
    """The effects of all plug-ins on one request so far.

    Attributes:
        tags: Tags of the request.
        attempt_tags: Tags of each attempt.
        tag_count: Number of tags of the request and its attempts.
        tag_bytes: Total size of these tags.
        route: Selected route; empty if none.
        rejected_by: Name of the plug-in that rejected the request; empty if none did.
        is_finished: Whether the request has finished.
    """

    tags: dict[str, str] = field(default_factory=dict)
    attempt_tags: list[dict[str, str]] = field(default_factory=list)
    tag_count: int = 0
    tag_bytes: int = 0
    route: str = ""
    rejected_by: str = ""
    is_finished: bool = False

    def apply(self, phase: Phase, verdict: Verdict) -> None:
        """Apply the tags and the route of a verdict."""
        tags = self.attempt_tags[-1] if phase == _ATTEMPT else self.tags
        tags.update(verdict.tags)
        self.tag_count += len(verdict.tags)
        self.tag_bytes += verdict.tag_bytes
        self.route = verdict.route or self.route

    def tags_for_phase(self, phase: Phase) -> dict[str, str]:
        """Return the tags that a phase may add to: those of the last attempt or of the request."""
        if phase == _ATTEMPT and self.attempt_tags:
            return self.attempt_tags[-1]
        return self.tags


def tag_size(key: str, value: str) -> int:
    """Return the size of a tag in bytes."""
    return len(key) + (len(value) if value.isascii() else len(value.encode("utf-8", "replace")))


def evaluate(
    phase: Phase, proposals: Sequence[Proposal], effects: RequestEffects, limits: ProposalLimits
) -> Verdict:
    """Decide which proposals of one call take effect on a request."""
    verdict = Verdict()
    allowed_verbs = _ALLOWED_VERBS[phase]
    for proposal in proposals[:MAX_PROPOSALS]:
        verb = proposal.verb
        if verb in FORBIDDEN_VERBS:
            reason: DenialReason | None = DenialReason.FORBIDDEN
        elif verb not in _VERBS:
            verb = _UNKNOWN_VERB
            reason = DenialReason.UNKNOWN_VERB
        elif effects.is_finished:
            reason = DenialReason.REQUEST_FINISHED
        elif verb not in allowed_verbs:
            reason = DenialReason.WRONG_PHASE
        elif verb == _TAG:
            reason = _evaluate_tag(proposal, effects.tags_for_phase(phase), effects, limits, verdict)
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
    elif len(value) > MAX_TAG_VALUE_CHARACTERS or not value.isprintable():
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
    """Accept a rejection with any retry time, but clamp that time to the allowed range."""
    if verdict.retry_after is not None:
        return None
    try:
        proposed = float(text)
    except ValueError:
        proposed = math.nan
    if math.isnan(proposed):
        verdict.retry_after = 0.0
        return DenialReason.RETRY_AFTER_CLAMPED
    verdict.retry_after = min(max(proposed, 0.0), limits.max_retry_after)
    return DenialReason.RETRY_AFTER_CLAMPED if verdict.retry_after != proposed else None

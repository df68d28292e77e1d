"""Tests of which proposals take effect and why the others are denied."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.plugins.interfaces import Phase, Proposal
from apigateway.plugins.proposals import (
    FORBIDDEN_VERBS,
    MAX_PROPOSALS,
    DenialReason,
    ProposalLimits,
    RequestEffects,
    evaluate,
    tag_size,
)

LIMITS = ProposalLimits(frozenset(["batch", "fast"]), max_tags=3, max_tag_bytes=40, max_retry_after=2.0)


def evaluate_all(phase, *proposals, effects=None):
    effects = effects or RequestEffects(attempt_tags=[{}])
    return evaluate(phase, [Proposal(*p) for p in proposals], effects, LIMITS)


def test_evaluate_when_request_is_accepted_allows_tags_route_and_rejection():
    verdict = evaluate_all(Phase.REQUEST, ("tag", "district", "kochi"), ("route", "batch"), ("refuse", "1.5"))
    assert (verdict.tags, verdict.route, verdict.retry_after, verdict.denied) == (
        {"district": "kochi"},
        "batch",
        1.5,
        [],
    )


def test_evaluate_before_attempt_allows_only_tags_and_after_answer_nothing():
    proposals = [("tag", "a", "1"), ("route", "batch"), ("refuse", "1")]
    verdict = evaluate_all(Phase.ATTEMPT, *proposals)
    assert verdict.tags == {"a": "1"} and verdict.denied == [
        ("route", "wrong phase"),
        ("refuse", "wrong phase"),
    ]
    for phase in (Phase.ANSWER, Phase.TICK):
        verdict = evaluate_all(phase, *proposals)
        assert (
            not verdict.tags
            and verdict.retry_after is None
            and [reason for _, reason in verdict.denied] == ["wrong phase"] * 3
        )


def test_evaluate_when_request_has_finished_denies_everything():
    for phase in Phase:
        verdict = evaluate_all(
            phase,
            ("tag", "a", "1"),
            ("refuse", "1"),
            effects=RequestEffects(attempt_tags=[{}], is_finished=True),
        )
        assert (
            not verdict.tags
            and verdict.retry_after is None
            and {reason for _, reason in verdict.denied} == {"over"}
        )


@pytest.mark.parametrize("verb", sorted(FORBIDDEN_VERBS))
def test_forbidden_verb_is_denied_and_counted_by_name(verb):
    assert evaluate_all(Phase.REQUEST, (verb, "x")).denied == [(verb, "fixed")]


@pytest.mark.parametrize(
    "proposal, expected_reason",
    [
        (("tag", "Ab", "1"), "bad key"),
        (("tag", "", "1"), "bad key"),
        (("tag", "a" * 33, "1"), "bad key"),
        (("tag", "a", "x" * 129), "bad value"),
        (("tag", "a", "x\ny"), "bad value"),
        (("tag", "a", "x" * 40), "too many bytes"),
        (("route", "nowhere"), "unknown route"),
        (("jump", "1"), "unknown"),
    ],
)
def test_denied_proposal_names_its_reason(proposal, expected_reason):
    verdict = evaluate_all(Phase.REQUEST, proposal)
    assert (
        [reason for _, reason in verdict.denied] == [expected_reason]
        and not verdict.tags
        and not verdict.route
    )


@pytest.mark.parametrize(
    "text, retry_after, denial_count",
    [
        ("0.5", 0.5, 0),
        ("9", 2.0, 1),
        ("-1", 0.0, 1),
        ("nan", 0.0, 1),
        ("soon", 0.0, 1),
        ("inf", 2.0, 1),
        ("", 0.0, 1),
    ],
)
def test_rejection_is_accepted_and_its_retry_time_is_clamped(text, retry_after, denial_count):
    verdict = evaluate_all(Phase.REQUEST, ("refuse", text))
    assert verdict.retry_after == retry_after and len(verdict.denied) == denial_count


def test_tag_and_route_when_already_set_are_kept():
    effects = RequestEffects(tags={"a": "1"}, tag_count=1, tag_bytes=2, route="fast")
    verdict = evaluate_all(
        Phase.REQUEST, ("tag", "a", "2"), ("route", "batch"), ("route", "fast"), effects=effects
    )
    assert verdict.denied == [("tag", "set already"), ("route", "routed already")] and not verdict.tags


VERBS = st.sampled_from(["tag", "refuse", "route", "send", "class", "nonsense", ""])


PROPOSALS = st.lists(
    st.builds(
        Proposal,
        VERBS,
        st.one_of(st.sampled_from(["a", "b", "c", "d", "e", "batch", "1"]), st.text(max_size=5)),
        st.text(max_size=30),
    ),
    max_size=80,
)


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(st.lists(st.tuples(st.sampled_from(Phase), PROPOSALS), max_size=6), st.booleans())
def test_limits_hold_and_each_proposal_is_counted_for_arbitrary_proposals(calls, is_finished):
    effects = RequestEffects(attempt_tags=[{}], is_finished=is_finished)
    for phase, proposals in calls:
        before = (dict(effects.tags), list(map(dict, effects.attempt_tags)), effects.route)
        verdict = evaluate(phase, proposals, effects, LIMITS)
        assert before == (effects.tags, effects.attempt_tags, effects.route)  # evaluate has no side effects
        assert all(reason in set(DenialReason) for _, reason in verdict.denied)
        evaluated_count = len(proposals[:MAX_PROPOSALS])
        refuse_and_route_count = sum(p.verb in ("refuse", "route") for p in proposals)
        assert len(verdict.tags) + len(verdict.denied) + refuse_and_route_count >= evaluated_count
        if is_finished or phase in (Phase.ANSWER, Phase.TICK):
            assert not verdict.tags and not verdict.route
        if verdict.retry_after is not None:
            assert phase == Phase.REQUEST and not is_finished and 0 <= verdict.retry_after <= 2.0
        effects.apply(phase, verdict)
        tags = [
            *effects.tags.items(),
            *(item for attempt_tags in effects.attempt_tags for item in attempt_tags.items()),
        ]
        assert (
            len(tags) == effects.tag_count <= 3
            and sum(tag_size(*tag) for tag in tags) == effects.tag_bytes <= 40
        )
        assert effects.route in ("", "batch", "fast")

"""What is allowed, who is asked, what is kept: the modules without I/O."""

import math
import struct

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.plugins import abi
from apigateway.plugins.circuit_breaker import CircuitBreaker, CircuitState, SkipReason
from apigateway.plugins.interfaces import Budget, Phase, PluginError, Proposal, RequestView
from apigateway.plugins.plugin_state import MAX_COUNTERS, Counters, KeyValueStore, LogRateLimiter
from apigateway.plugins.proposals import (
    FORBIDDEN_VERBS,
    MAX_PROPOSALS,
    DenialReason,
    ProposalLimits,
    RequestEffects,
    evaluate,
    tag_size,
)

ALLOWANCE = ProposalLimits(frozenset(["batch", "fast"]), max_tags=3, max_tag_bytes=40, max_retry_after=2.0)


def judged(phase, *proposals, standing=None):
    standing = standing or RequestEffects(attempt_tags=[{}])
    return evaluate(phase, [Proposal(*p) for p in proposals], standing, ALLOWANCE)


def test_tags_a_route_and_a_refusal_are_allowed_when_a_request_is_taken():
    told = judged(Phase.REQUEST, ("tag", "district", "kochi"), ("route", "batch"), ("refuse", "1.5"))
    assert (told.tags, told.route, told.retry_after, told.denied) == ({"district": "kochi"}, "batch", 1.5, [])


def test_before_an_attempt_only_tags_and_after_the_answer_nothing():
    said = [("tag", "a", "1"), ("route", "batch"), ("refuse", "1")]
    told = judged(Phase.ATTEMPT, *said)
    assert told.tags == {"a": "1"} and told.denied == [("route", "wrong phase"), ("refuse", "wrong phase")]
    for phase in (Phase.ANSWER, Phase.TICK):
        told = judged(phase, *said)
        assert (
            not told.tags
            and told.retry_after is None
            and [why for _, why in told.denied] == ["wrong phase"] * 3
        )


def test_nothing_is_allowed_for_a_request_that_is_over():
    for phase in Phase:
        told = judged(
            phase,
            ("tag", "a", "1"),
            ("refuse", "1"),
            standing=RequestEffects(attempt_tags=[{}], is_over=True),
        )
        assert not told.tags and told.retry_after is None and {why for _, why in told.denied} == {"over"}


@pytest.mark.parametrize("verb", sorted(FORBIDDEN_VERBS))
def test_what_is_never_a_hooks_is_counted_by_name(verb):
    assert judged(Phase.REQUEST, (verb, "x")).denied == [(verb, "fixed")]


@pytest.mark.parametrize(
    "proposal, why",
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
def test_what_is_not_allowed_says_why(proposal, why):
    told = judged(Phase.REQUEST, proposal)
    assert [reason for _, reason in told.denied] == [why] and not told.tags and not told.route


@pytest.mark.parametrize(
    "text, wait, cut",
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
def test_a_refusal_stands_whatever_wait_it_names(text, wait, cut):
    told = judged(Phase.REQUEST, ("refuse", text))
    assert told.retry_after == wait and len(told.denied) == cut


def test_a_tag_once_set_stays_and_a_route_once_chosen_too():
    standing = RequestEffects(tags={"a": "1"}, tag_count=1, tag_bytes=2, route="fast")
    told = judged(Phase.REQUEST, ("tag", "a", "2"), ("route", "batch"), ("route", "fast"), standing=standing)
    assert told.denied == [("tag", "set already"), ("route", "routed already")] and not told.tags


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
def test_whatever_is_proposed_bounds_hold_and_all_is_accounted_for(calls, over):
    standing = RequestEffects(attempt_tags=[{}], is_over=over)
    for phase, proposals in calls:
        before = (dict(standing.tags), list(map(dict, standing.attempt_tags)), standing.route)
        told = evaluate(phase, proposals, standing, ALLOWANCE)
        assert before == (standing.tags, standing.attempt_tags, standing.route)  # it changes nothing itself
        assert all(why in set(DenialReason) for _, why in told.denied)
        seen = len(proposals[:MAX_PROPOSALS])
        repeats = sum(p.verb in ("refuse", "route") for p in proposals)
        assert len(told.tags) + len(told.denied) + repeats >= seen
        if over or phase in (Phase.ANSWER, Phase.TICK):
            assert not told.tags and not told.route
        if told.retry_after is not None:
            assert phase == Phase.REQUEST and not over and 0 <= told.retry_after <= 2.0
        standing.apply(phase, told)
        tags = [*standing.tags.items(), *(item for one in standing.attempt_tags for item in one.items())]
        assert (
            len(tags) == standing.tag_count <= 3
            and sum(tag_size(*tag) for tag in tags) == standing.tag_bytes <= 40
        )
        assert standing.route in ("", "batch", "fast")


# The breaker


def test_a_plug_in_that_fails_in_a_row_is_taken_out_tried_again_and_comes_back():
    breaker = CircuitBreaker(
        Budget(failure_threshold=3, open_time=5.0, max_open_time=12.0, cpu_share=1.0), 0.0
    )
    for _ in range(2):
        breaker.record_call(0.0, 0.0, True)
    breaker.record_call(0.0, 0.0, False)  # a sound call between: not in a row
    for _ in range(3):
        assert breaker.check(0.0) is None
        breaker.record_call(0.0, 0.0, True)
    assert (
        breaker.state == CircuitState.OPEN
        and breaker.check(4.9) == SkipReason.CIRCUIT_OPEN
        and breaker.time_until_available(4.0) == 1.0
    )
    for at, rest in ((5.0, 10.0), (15.0, 12.0), (27.0, 12.0)):
        assert breaker.check(at) is None and breaker.state == CircuitState.HALF_OPEN
        breaker.record_call(at, 0.0, True)
        assert breaker.open_until == at + rest
    assert breaker.check(39.0) is None
    breaker.record_call(39.0, 0.0, False)
    assert breaker.state == CircuitState.CLOSED and breaker.open_time == 5.0


def test_past_its_share_it_waits():
    breaker = CircuitBreaker(Budget(cpu_share=0.1, cpu_share_window=10.0), 0.0)
    assert breaker.check(0.0) is None
    breaker.record_call(0.0, 1.5, False)
    assert breaker.check(0.0) == SkipReason.CPU_SHARE and breaker.time_until_available(0.0) == pytest.approx(
        5.0
    )
    assert breaker.check(4.9) == SkipReason.CPU_SHARE and breaker.check(5.1) is None


@seed(2)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.tuples(st.floats(0, 3), st.floats(0, 0.2), st.booleans()), max_size=60))
def test_whatever_comes_it_never_gets_more_than_its_share_and_one_call(steps):
    budget = Budget(cpu_share=0.1, cpu_share_window=2.0, failure_threshold=3, open_time=1.0)
    breaker, now, used, last = CircuitBreaker(budget, 0.0), 0.0, 0.0, 0.0
    for step, cost, failed in steps:
        now += step
        if breaker.check(now) is None:
            breaker.record_call(now, cost, failed)
            used, last = used + cost, max(last, cost)
        assert used <= 0.1 * (2.0 + now) + last + 1e-9
        assert breaker.time_until_available(now) >= 0


# What it keeps


@seed(3)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(st.tuples(st.binary(max_size=6), st.binary(max_size=60)), max_size=60))
def test_keys_hold_what_fits_and_no_more(puts):
    keys, model = KeyValueStore(400), {}
    for key, value in puts:
        cost = sum(len(k) + len(v) + 64 for k, v in model.items() if k != key)
        fits = not value or cost + len(key) + len(value) + 64 <= 400
        assert keys.put(key, value) is fits
        if fits:
            model.pop(key, None)
            model.update({key: value} if value else {})
        assert (
            keys.values == model
            and keys.used_bytes == sum(len(k) + len(v) + 64 for k, v in model.items()) <= 400
        )


def test_counters_and_log_lines_are_rationed():
    counters = Counters()
    for n in range(MAX_COUNTERS + 5):
        counters.add(f"c{n}", 1.0)
    assert len(counters.values) == MAX_COUNTERS and counters.dropped == 5
    assert counters.add("c1", 2.0) and counters.values["c1"] == 3.0
    assert not counters.add("c1", math.nan) and not counters.add("a\nb", 1.0)
    ration = LogRateLimiter(1.0)
    assert [ration.try_acquire(10.0) for _ in range(6)] == [True] * 5 + [False] and ration.try_acquire(11.0)
    assert not LogRateLimiter(0.0).try_acquire(1.0)


# The ABI's bytes


def test_a_module_finds_each_field_where_the_page_says():
    view = RequestView(
        "r1", "c1", "basic", "read", 2.5, 3.0, 100.25, True, True, {"a": "1"}, "batch", "h1", 4, "failed", 0.5
    )
    raw = abi.encode_input(Phase.ANSWER, view, 4096, 2048)
    assert struct.unpack_from("<II4dIII", raw) == (1, 3, 100.25, 3.0, 2.5, 0.5, 3, 4, 3)
    table = struct.unpack_from("<16I", raw, 56)
    texts = [raw[a - 4096 : a - 4096 + n].decode() for a, n in zip(table[::2], table[1::2], strict=True) if a]
    assert texts == ["r1", "c1", "basic", "read", "h1", "batch", "a=1\n"]


def test_tags_that_do_not_fit_are_cut_and_a_request_that_does_not_is_told():
    raw = abi.encode_input(Phase.REQUEST, RequestView("r1", tags={"a": "x" * 3000}), 0, 2048)
    assert struct.unpack_from("<I", raw, 40)[0] == abi.FLAG_TAGS_CUT and len(raw) < 2048
    with pytest.raises(PluginError):
        abi.encode_input(Phase.REQUEST, RequestView("r" * 3000), 0, 2048)


@pytest.mark.parametrize(
    "packed, fits",
    [
        (0, True),
        ((100 << 32) | 28, True),
        ((100 << 32) | 29, False),
        ((0xFFFFFFFF << 32) | 1, False),
        (-1, False),
        ((1 << 32) | 0xFFFFFFFF, False),
        (65, False),
    ],
)
def test_pointers_are_held_against_the_memory(packed, fits):
    if fits:
        abi.decode_pointer(packed, 128, 64)
    else:
        with pytest.raises(PluginError):
            abi.decode_pointer(packed, 128, 64)


@seed(4)
@settings(max_examples=300, deadline=None, database=None)
@given(st.one_of(st.binary(max_size=200), st.text(max_size=100).map(str.encode)))
def test_whatever_text_comes_back_is_read_or_refused(raw):
    try:
        said = abi.decode_proposals(raw)
    except PluginError as err:
        assert err.reason == "nonsense"
        return
    evaluate(Phase.REQUEST, said, RequestEffects(), ALLOWANCE)
    assert len(said) <= abi.MAX_OUTPUT_LINES


def test_proposals_as_lines():
    assert abi.decode_proposals(b"tag a b c\nrefuse 1.5\n\nroute x\nsend h1 now") == [
        ("tag", "a", "b c"),
        ("refuse", "1.5", ""),
        ("route", "x", ""),
        ("send", "h1 now", ""),
    ]

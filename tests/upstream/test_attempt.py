"""The results of attempts, without connections."""

import hiredis
import pytest

from apigateway import messages
from apigateway.messages import AttemptResult
from apigateway.upstream.attempt import HEALTH_CHECK, Attempt, apply_reply
from apigateway.upstream.framing import FramingError


def test_results_when_compared_with_the_messages_then_have_the_same_values():
    values = {"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}
    assert set(AttemptResult) == set(messages.ATTEMPT_RESULTS) == values


def test_end_when_called_twice_then_only_the_first_result_is_kept_and_reported():
    reported = []
    attempt = Attempt("h1", b"", reported.append)
    attempt.end(AttemptResult.RESET)
    attempt.end(AttemptResult.OK)
    assert attempt.result is AttemptResult.RESET and reported == [attempt]


@pytest.mark.parametrize(
    ("reply", "tag", "result"),
    [
        ([b"value", 3, b"active=7"], None, AttemptResult.OK),
        (hiredis.ReplyError("BUSY active=7"), None, AttemptResult.REJECTED),
        (hiredis.ReplyError("ERR active=7"), None, AttemptResult.ERROR),
        (b"active=7", HEALTH_CHECK, AttemptResult.OK),
    ],
)
def test_reply_when_valid_then_sets_the_result_and_the_load_report(reply, tag, result):
    attempt = Attempt("h1", b"", lambda _: None, tag)
    assert apply_reply(attempt, reply) is result
    assert attempt.load_report == {"inflight": 7.0}


@pytest.mark.parametrize("reply", [b"active=7", [b"value", 3], ["text", 3, b""], 7, None])
def test_reply_when_it_violates_the_protocol_then_raises_framing_error(reply):
    with pytest.raises(FramingError):
        apply_reply(Attempt("h1", b"", lambda _: None), reply)

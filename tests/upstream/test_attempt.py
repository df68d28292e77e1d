"""What ends an attempt, apart from connections."""

import hiredis
import pytest

from apigateway import messages
from apigateway.messages import AttemptResult
from apigateway.upstream.attempt import HEALTH_CHECK, Attempt, read_reply
from apigateway.upstream.framing import FramingError


def test_results_when_compared_with_the_messages_then_are_the_same_words():
    names = {"ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"}
    assert set(AttemptResult) == set(messages.ATTEMPT_RESULTS) == names


def test_end_when_called_twice_then_the_first_result_stays_and_is_reported_once():
    ended = []
    attempt = Attempt("h1", b"", ended.append)
    attempt.end(AttemptResult.RESET)
    attempt.end(AttemptResult.OK)
    assert attempt.result is AttemptResult.RESET and ended == [attempt]


@pytest.mark.parametrize(
    ("reply", "tag", "result"),
    [
        ([b"value", 3, b"active=7"], None, AttemptResult.OK),
        (hiredis.ReplyError("BUSY active=7"), None, AttemptResult.REJECTED),
        (hiredis.ReplyError("ERR active=7"), None, AttemptResult.ERROR),
        (b"active=7", HEALTH_CHECK, AttemptResult.OK),
    ],
)
def test_reply_of_each_kind_has_its_result(reply, tag, result):
    attempt = Attempt("h1", b"", lambda _: None, tag)
    assert read_reply(attempt, reply) is result
    assert attempt.load_report == {"inflight": 7.0}


@pytest.mark.parametrize("reply", [b"active=7", [b"value", 3], ["text", 3, b""], 7, None])
def test_reply_that_no_host_would_give_is_a_framing_error(reply):
    with pytest.raises(FramingError):
        read_reply(Attempt("h1", b"", lambda _: None), reply)

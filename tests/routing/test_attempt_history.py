from apigateway.routing.attempt_history import AttemptHistory, SentAttempt


def test_begun_attempts_are_numbered_and_in_flight():
    history = AttemptHistory()
    assert history.begin_attempt("a", 1.0) == 0 and history.begin_attempt("b", 2.0) == 1
    assert history.in_flight == {0: SentAttempt("a", 1.0), 1: SentAttempt("b", 2.0)}
    assert history.tried_endpoint_ids == {"a", "b"} and history.attempt_count == 2


def test_ended_attempt_is_kept_if_it_may_have_executed():
    history = AttemptHistory()
    history.begin_attempt("a", 1.0)
    history.begin_attempt("b", 2.0)
    history.end_attempt(0, may_have_executed=True)
    history.end_attempt(0, may_have_executed=True)  # a second end adds nothing
    assert history.possibly_executed == [SentAttempt("a", 1.0)]
    assert history.possible_executions() == [SentAttempt("a", 1.0), SentAttempt("b", 2.0)]
    history.end_attempt(1, may_have_executed=False)
    assert history.possible_executions() == [SentAttempt("a", 1.0)]


def test_overdue_attempts_are_returned_as_newly_marked_only_once():
    history = AttemptHistory()
    history.begin_attempt("a", 1.0)
    history.begin_attempt("b", 2.0)
    assert history.overdue_attempts(3.0, 2.0) == [0] and history.overdue_attempts(4.0, 2.0) == [0, 1]
    assert history.mark_timed_out([0]) == {0} and history.mark_timed_out([0, 1]) == {1}
    assert history.mark_given_up([0, 1]) == {0, 1} and history.mark_given_up([0]) == set()

"""Each rule: a planted breach is found, its neighbours that are allowed are not."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from apigateway.emulators.ledger import RULES, Ceiling, ClassRules, Ledger, RuleLimits, format_verdicts

TERMS = RuleLimits(
    {"read": ClassRules("safe"), "write": ClassRules("keyed", "cell", 6.0), "note": ClassRules("unsafe")},
    {"big": Ceiling(10.0, 20.0)},
    drain_grace_s=2.0,
    overload_ratio=2.0,
    overload_window_s=2.0,
)


class World:
    """A ledger with a clock that the test moves."""

    def __init__(self):
        self.now = 100.0
        self.book = Ledger(TERMS, lambda: self.now)
        self.n = 0

    def ask(self, cls="read", plan="small", gateway="g0", customer="c", wait=5.0, units=1.0):
        self.n += 1
        self.book.record_request(f"r{self.n}", gateway, wait, customer, plan, cls, units)
        return f"r{self.n}"

    def send(self, id, host="h1", cls="read", cell=0, zone="a", work=0.1):
        return self.book.record_attempt(host, id, cls, cell, zone, self.now, work)

    def serve(self, id, number, value=b"v"):
        self.book.record_attempt_end(number, "answered", value)
        self.book.record_answer(id, "served", value)

    def broken(self):
        return [v.rule for v in self.book.check_rules() if not v.kept]


@pytest.fixture
def w():
    return World()


def test_a_day_that_keeps_the_rules(w):
    id = w.ask()
    w.serve(id, w.send(id))
    assert w.broken() == []
    assert {v.rule: v.checked for v in w.book.check_rules()}[RULES[0]] == 1
    assert "drains kept: not seen" in format_verdicts(w.book.check_rules())


def test_a_request_without_an_answer_is_lost(w):
    w.ask()
    assert w.broken() == [RULES[0]]


def test_what_is_asked_of_a_gateway_that_was_killed_is_excused_until_it_listens_again(w):
    w.book.record_gateway_start("g0")
    w.book.record_gateway_kill("g0")
    w.now += 3.0
    w.ask()  # on a connection whose end its client has not heard of yet
    assert w.broken() == []
    w.book.record_gateway_start("g0")
    w.now += 3.0
    w.ask()
    assert w.broken() == [RULES[0]]


def test_two_answers(w):
    id = w.ask()
    w.book.record_answer(id, "failed")
    w.book.record_answer(id, "refused")
    assert w.broken() == [RULES[0]]


def test_an_answer_nobody_asked_for(w):
    w.book.record_unsolicited_answer("g0")
    assert w.broken() == [RULES[0]]


@pytest.mark.parametrize("late, rules", [(0.04, []), (0.06, [RULES[0]])])
def test_an_answer_after_the_clients_time(w, late, rules):
    id = w.ask(wait=1.0)
    w.now += 1.0 + late
    w.book.record_answer(id, "failed")
    assert w.broken() == rules


def test_a_value_that_no_host_made(w):
    id, other = w.ask(), w.ask()
    w.serve(other, w.send(other), b"other")
    w.book.record_attempt_end(w.send(id), "answered", b"mine")
    w.book.record_answer(id, "served", b"other")
    assert w.broken() == [RULES[0]]


def test_a_send_after_the_answer(w):
    id = w.ask()
    w.book.record_answer(id, "failed")
    w.now += 0.2
    w.book.record_attempt_end(w.send(id), "busy")
    assert w.broken() == [RULES[0]]


def test_what_a_killed_gateway_held_is_not_lost(w):
    w.ask(gateway="g1")
    w.ask(gateway="g2")
    w.now += 1.0
    w.book.record_gateway_kill("g1")
    assert [t.gateway for t in w.book.requests.values() if not w.book.is_excused(t)] == ["g2"]
    assert w.broken() == [RULES[0]]  # the other one's


@pytest.mark.parametrize(
    "how, cls, rules",
    [
        ("busy", "note", []),
        ("closed", "note", [RULES[1]]),
        ("error", "note", [RULES[1]]),
        ("spoilt", "note", [RULES[1]]),
        ("half", "note", [RULES[1]]),
        ("closed", "read", []),
        ("error", "write", []),
    ],
)
def test_another_attempt_only_where_it_cannot_run_twice(w, how, cls, rules):
    id = w.ask(cls)
    w.book.record_attempt_end(w.send(id, "h1", cls), how)
    w.now += 0.1
    w.serve(id, w.send(id, "h2", cls))
    assert w.broken() == rules


def test_a_second_copy(w):
    id = w.ask()
    first = w.send(id, "h1")
    w.now += 0.1
    second = w.send(id, "h2")
    w.now += 0.1
    w.book.record_attempt_end(first, "closed")
    w.serve(id, second)
    assert w.broken() == [RULES[1]]


@pytest.mark.parametrize("cell, after, rules", [(0, 3.0, []), (1, 3.0, [RULES[1]]), (0, 6.1, [RULES[1]])])
def test_a_keyed_request_goes_again_to_its_group_while_that_remembers(w, cell, after, rules):
    id = w.ask("write", wait=10.0)
    w.book.record_attempt_end(w.send(id, "h1", "write", cell=0), "closed")
    w.now += after
    w.serve(id, w.send(id, "h2", "write", cell=cell))
    assert w.broken() == rules


@pytest.mark.parametrize(
    "cls, how, rules",
    [
        ("note", "busy", []),
        ("note", "closed", [RULES[1]]),
        ("write", "error", [RULES[1]]),
        ("read", "closed", []),
    ],
)
def test_a_refusal_promises_that_nothing_ran(w, cls, how, rules):
    id = w.ask(cls)
    w.book.record_attempt_end(w.send(id, "h1", cls), how)
    w.book.record_answer(id, "refused")
    assert w.broken() == rules


@pytest.mark.parametrize("after, again, rules", [(1.9, False, []), (2.1, False, [RULES[2]]), (2.1, True, [])])
def test_sends_to_a_host_that_drains(w, after, again, rules):
    w.book.record_host_state("g0", "h1", "up")
    w.book.record_host_state("g0", "h1", "draining")
    if again:
        w.book.record_host_state("g0", "h1", "up")
    w.now += after
    id = w.ask()
    w.serve(id, w.send(id))
    assert w.broken() == rules


def test_a_drain_told_anew_does_not_begin_its_grace_anew(w):
    w.book.record_host_state("g0", "h1", "draining")
    w.now += 1.5
    w.book.record_host_state("g0", "h1", "removed")
    w.now += 1.0
    id = w.ask()
    w.serve(id, w.send(id))
    assert w.broken() == [RULES[2]]


@pytest.mark.parametrize("sent, rules", [(4, []), (12, [RULES[3]])])
def test_a_cold_host_pushed_over(w, sent, rules):
    w.book.record_cold_start("h1", cores=1, start_share=0.2, warm_up_s=10.0)
    for _ in range(sent):  # 0.2 to 0.36 of a core for 2 s, times 2: 1.1 s of work, and one request
        w.now += 0.1
        id = w.ask()
        w.serve(id, w.send(id, work=0.2))
    assert w.broken() == rules


@pytest.mark.parametrize("sent, rules", [(23, []), (30, [RULES[4]])])
def test_a_ceiling_over_all_gateways(w, sent, rules):
    for n in range(sent):  # at once: 20 and a slack of 2 + 1.5
        id = w.ask(plan="big", gateway=f"g{n % 3}")
        w.serve(id, w.send(id))
    assert w.broken() == rules


@pytest.mark.parametrize("sent, granted, rules", [(12, 11, []), (12, 18, [RULES[4]]), (0, 30, [RULES[4]])])
def test_checks_and_requests_take_of_one_ceiling(w, sent, granted, rules):
    for n in range(max(sent, granted)):
        if n < sent:
            id = w.ask(plan="big")
            w.serve(id, w.send(id))
        if n < granted:
            w.book.record_grant("c", "big", 1.0)
            w.book.record_grant("other", "small", 1.0)
    assert w.broken() == rules


def test_a_request_that_was_paid_for_counts_with_its_check(w):
    for _ in range(20):
        w.book.record_grant("c", "big", 1.0)
        id = w.ask(plan="big")
        w.book.prepaid_requests.add(id)
        w.serve(id, w.send(id))
    assert w.broken() == []


@seed(1)
@settings(max_examples=100, deadline=None, database=None)
@given(st.lists(st.tuples(st.floats(0, 1), st.integers(1, 5)), max_size=60))
def test_a_ceilings_store_is_a_token_bucket(steps):
    """Against the plain definition: within any span no more than burst + rate * span + slack."""
    w, sent = World(), []
    for wait, units in steps:
        w.now += wait
        id = w.ask(plan="big", units=units)
        w.serve(id, w.send(id))
        sent.append((w.now, units))
    slack = max([2.0, *[u for _, u in sent]]) + 1.5
    over = any(
        sum(u for _, u in sent[a : b + 1]) > 20 + 10 * (sent[b][0] - sent[a][0]) + slack + 1e-6
        for a in range(len(sent))
        for b in range(a, len(sent))
    )
    assert (w.broken() == [RULES[4]]) == over

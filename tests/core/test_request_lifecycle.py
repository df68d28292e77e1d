"""A request's lifecycle without a socket: endpoints, frontends and the decision module are the test's."""

import heapq
import itertools
import logging

import pytest
from helpers import settings as module_settings
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from apigateway import messages
from apigateway.core import deadlines
from apigateway.core.budget import RESERVED_FRACTION, Budget
from apigateway.core.request_lifecycle import DuplicateRequestError, RequestDispatcher


class ManualScheduler:
    """Timers that fire when the test says so."""

    def __init__(self):
        self.timers, self.soon, self.number = [], [], itertools.count()

    def call_later(self, delay, callback, *args):
        timer = Timer(callback, args)
        heapq.heappush(self.timers, (delay, next(self.number), timer))
        return timer

    def call_soon(self, callback, *args):
        self.soon.append((callback, args))

    def fire(self):
        while self.timers:
            heapq.heappop(self.timers)[2].fire()


class Timer:
    def __init__(self, callback, args):
        self.callback, self.args, self.off = callback, args, False

    def cancel(self):
        self.off = True

    def fire(self):
        if not self.off:
            self.callback(*self.args)


class StubAttempt:
    def __init__(self, host, payload, done, tag):
        self.endpoint_id, self.payload, self.done, self.tag = host, payload, done, tag
        self.result, self.value, self.metered_use, self.load_report, self.is_written = "", b"", 0, {}, False

    def elapsed(self):
        return 0.01

    def end(self, result):
        if not self.result:
            self.result, self.value = result, b"value"
            self.done(self)


class StubUpstreamPool:
    create_attempt = StubAttempt

    def __init__(self):
        self.out, self.sent, self.places = [], [], {}
        self.late = []  # sent for a request that was over

    def send(self, attempt, timeout):
        assert timeout > 0 and not attempt.result
        if attempt.tag[0].is_finished:
            self.late.append(attempt)
        self.out.append(attempt)
        self.sent.append(attempt)

    def abandon(self, attempt, result):
        attempt.end(result if attempt.is_written else "connect_failed")

    def check_health(self, host, done):
        done(StubAttempt(host, b"", done, None))

    def close_idle_connections(self, host):
        pass

    def update_endpoint(self, host, address):
        self.places[host] = address

    def known_endpoints(self):
        return {host for host, address in self.places.items() if address}


class RecordingSink:
    """Keep each answer. `broken`: the frontend raises when it is to answer."""

    def __init__(self, broken=False):
        self.token, self.answers, self.broken = None, [], broken

    def note(self, answer):
        self.answers.append(answer)
        if self.broken:
            raise RuntimeError("the front is broken")

    def complete(self, value):
        self.note("served")

    def reject(self, wait):
        self.note("refused")

    def fail(self):
        self.note("failed")


class StubUpstreamRequest:
    body_size = 10

    def encode(self, left):
        return b"x"


class ScriptedModule:
    """Return the actions that the test put down for the next event; raise if that is an exception."""

    def __init__(self):
        self.next, self.events = [], []

    def handle(self, now, event):
        self.events.append(event)
        told, self.next = self.next, []
        if isinstance(told, Exception):
            raise told
        return told


def request(id, left=3.0):
    return messages.Request(id, left, "c", "p", "read", 1.0, 0, 1)


class World:
    def __init__(self, most=100, held=10_000, **limits):
        self.module, self.hosts, self.loop = ScriptedModule(), StubUpstreamPool(), ManualScheduler()
        conf = module_settings(limits={"can_hedge": False, **limits})
        self.core = RequestDispatcher(
            conf, self.module, self.hosts, None, self.loop, most, held, clock=lambda: 1000.0
        )
        self.core.register_frontend("front")

    def take(self, id, actions=(), front="front", broken=False, left=3.0):
        place = RecordingSink(broken)
        self.module.next = actions if isinstance(actions, Exception) else list(actions)
        self.core.submit(front, request(id, left), StubUpstreamRequest(), place)
        return place


def test_a_request_is_sent_and_served_once():
    w = World()
    place = w.take("a", [messages.ForwardRequest("a", "h1")])
    w.hosts.out[0].end("ok")
    assert place.answers == ["served"] and not w.core.in_flight and not w.core.request_budget.used
    assert w.module.events[-1] == messages.AttemptOutcome("a", 0, "h1", "ok", 0.01, True)
    w.loop.fire()
    assert place.answers == ["served"]


def test_an_id_in_work_is_taken_from_no_front():
    w = World()
    w.core.register_frontend("other")
    place = w.take("a", [messages.ForwardRequest("a", "h1")])
    with pytest.raises(DuplicateRequestError):
        w.take("a", front="other")
    w.hosts.out[0].end("ok")
    assert place.answers == ["served"]
    assert w.take("a", [messages.Reject("a")], front="other").answers == ["refused"]  # it is over now


def test_one_attempt_at_a_time_and_as_many_as_are_allowed():
    w = World(max_attempts=2)
    w.take("a", [messages.ForwardRequest("a", "h1"), messages.ForwardRequest("a", "h2")])
    assert [a.endpoint_id for a in w.hosts.sent] == ["h1"]
    assert w.module.events[-1].result == "moot"
    w.module.next = [messages.ForwardRequest("a", "h2")]
    w.hosts.out[0].end("reset")
    assert [a.endpoint_id for a in w.hosts.sent] == ["h1"]  # the moot one was an attempt too
    assert w.module.events[-1].result == "moot"


def test_a_module_that_raises_fails_its_request_and_calls_off_what_is_out():
    w = World()
    assert w.take("a", RuntimeError("broken")).answers == ["failed"]
    place = w.take("b", [messages.ForwardRequest("b", "h1")])
    w.hosts.out[0].is_written, w.module.next = True, RuntimeError("broken")
    w.hosts.out[0].end("reset")
    assert place.answers == ["failed"] and not w.core.in_flight
    assert isinstance(w.module.events[-1], messages.ClientDisconnected)


def test_a_module_that_says_nothing_is_answered_for():
    w = World()
    place = w.take("a")
    w.loop.fire()
    assert place.answers == ["failed"] and not w.core.in_flight


def test_an_action_that_cannot_be_carried_out_does_not_stop_the_next(caplog):
    w = World()
    with caplog.at_level(logging.CRITICAL):
        place = w.take("a", [object(), messages.Reject("a", 0.5)])
    assert place.answers == ["refused"]


def test_a_front_that_raises_is_cleared_away_like_the_others(caplog):
    w = World()
    with caplog.at_level(logging.CRITICAL):
        bad = w.take("a", [messages.Reject("a")], broken=True)
        good = w.take("b", [messages.Reject("b")])
    assert bad.answers == good.answers == ["refused"]
    assert not w.core.in_flight and not w.core.request_budget.used and not w.core.body_budget.used


def test_a_client_that_left_is_not_answered_and_its_attempt_is_called_off_unless_written():
    w = World()
    place = w.take("a", [messages.ForwardRequest("a", "h1")])
    w.core.on_client_disconnected(place)
    assert w.hosts.out[0].result == "connect_failed" and not w.core.in_flight and place.answers == []
    assert [e.result for e in w.module.events if isinstance(e, messages.AttemptOutcome)] == ["moot"]


def test_the_end_of_a_request_goes_before_what_waits_to_be_decided():
    """A client's end that is noticed while the module works: what it decides next knows of it."""
    w = World()
    place, other = w.take("a"), w.take("b")
    w.core.events.action_handlers[messages.LogMessage] = lambda _: (
        w.core.dispatch(messages.TimerExpired(7)),
        w.core.on_client_disconnected(place),
    )
    w.module.next = [messages.LogMessage("")]
    w.core.dispatch(messages.TimerExpired(0))
    assert [type(e) for e in w.module.events[-3:]] == [
        messages.TimerExpired,
        messages.ClientDisconnected,
        messages.TimerExpired,
    ]
    w.core.on_client_disconnected(other)
    assert not w.core.in_flight


def test_a_send_that_crossed_the_end_of_its_request_is_told_as_not_sent():
    w = World()
    place = w.take("a", [messages.ForwardRequest("a", "h1")])
    w.hosts.out[0].is_written = True
    w.core.on_client_disconnected(place)  # its attempt is out still, for the module to call off
    w.module.next = [messages.ForwardRequest("a", "h2")]
    w.core.dispatch(messages.TimerExpired(0))
    told = w.module.events[-1]
    assert (told.request_id, told.attempt, told.endpoint_id, told.result, told.is_final) == (
        "a",
        1,
        "h2",
        "moot",
        True,
    )
    assert len(w.hosts.sent) == 1


def test_a_flood_on_one_front_leaves_room_for_the_others():
    w = World(most=100)
    w.core.register_frontend("other")
    flood = [w.take(f"f{n}", [messages.ForwardRequest(f"f{n}", "h1")]) for n in range(200)]
    assert sum(p.answers == [] for p in flood) == 100 * (1 - RESERVED_FRACTION / 2)
    quiet = [w.take(f"q{n}", [messages.ForwardRequest(f"q{n}", "h1")], front="other") for n in range(100)]
    assert sum(p.answers == [] for p in quiet) == 100 * RESERVED_FRACTION / 2
    assert len(w.core.in_flight) == 100


def test_bytes_of_bodies_are_shared_likewise():
    w = World(held=100)
    w.core.register_frontend("other")
    taken = [w.take(f"f{n}", [messages.ForwardRequest(f"f{n}", "h1")]).answers == [] for n in range(30)]
    assert 7 <= sum(taken) <= 8  # 10 bytes each; the last may pass the bound
    assert w.take("q", [messages.ForwardRequest("q", "h1")], front="other").answers == []


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["take", "end", "write", "gone", "late", "timer"]),
        st.integers(0, 5),
        st.sampled_from(["send", "two", "refuse", "fail", "nothing", "raise", "cancel", "odd"]),
        st.sampled_from(["ok", "error", "full", "reset", "connect_failed", "timeout"]),
        st.booleans(),
    ),
    max_size=40,
)


@seed(1)
@settings(max_examples=300, deadline=None, database=None, suppress_health_check=[HealthCheck.too_slow])
@given(STEPS)
def test_whatever_happens_each_request_is_answered_once(steps):
    w = World(most=5, max_attempts=3)
    places, gone = [], set()
    logging.disable(logging.CRITICAL)
    try:
        for number, (what, which, does, result, broken) in enumerate(steps):
            live = [a for a in w.hosts.out if not a.result]
            attempt = live[which % len(live)] if live else None
            id = f"r{number}" if what == "take" else attempt.tag[0].request_id if attempt else "none"
            w.module.next = {
                "send": [messages.ForwardRequest(id, "h1")],
                "two": [messages.ForwardRequest(id, "h1"), messages.ForwardRequest(id, "h2")],
                "refuse": [messages.Reject(id, 0.1)],
                "fail": [messages.Fail(id)],
                "nothing": [],
                "raise": RuntimeError("broken"),
                "cancel": [messages.CancelAttempt(id, 0), messages.ForwardRequest(id, "h3")],
                "odd": [
                    None,
                    messages.ForwardRequest("unknown", "h1"),
                    messages.Reject(id),
                    messages.Fail(id),
                ],
            }[does]
            if what == "take":
                place = RecordingSink(broken)
                places.append(place)
                w.core.submit("front", request(id), StubUpstreamRequest(), place)
            elif what == "gone" and places:
                place = places[which % len(places)]
                if not place.answers:
                    gone.add(place)
                w.core.on_client_disconnected(place)
            elif what == "late" and w.core.in_flight:
                w.core.deadline_guard.on_deadline(
                    list(w.core.in_flight.values())[which % len(w.core.in_flight)]
                )
            elif what == "timer":
                w.core.dispatch(messages.TimerExpired(0))
            elif attempt is not None and what == "write":
                attempt.is_written = True
            elif attempt is not None:
                attempt.end(result)
            for work in w.core.in_flight.values():
                assert len(work.active_attempts) <= 1
            assert w.core.request_budget.used == len(w.core.in_flight) <= 5
            waiting = {work.request_id for work in w.core.in_flight.values() if not work.is_finished}
            assert len(places) == sum(bool(p.answers) for p in places) + len(gone) + len(waiting)
            assert not w.hosts.late
        w.module.next = []
        w.loop.fire()
        for attempt in w.hosts.out:
            attempt.end("reset")
    finally:
        logging.disable(logging.NOTSET)
    told = [(e.request_id, e.attempt) for e in w.module.events if isinstance(e, messages.AttemptOutcome)]
    for place in places:
        assert len(place.answers) == (place not in gone), place.answers
        if place.token is not None:  # each attempt that the module decided on has its one outcome
            work = place.token
            assert (
                sorted(told.count((work.request_id, n)) for n in range(work.attempt_count))
                == [1] * work.attempt_count
            )
    assert not w.core.in_flight and not w.core.request_budget.used and not w.core.body_budget.used


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.integers(1, 4), st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=120))
def test_no_front_takes_what_is_anothers(fronts, steps):
    budget = Budget(40)
    for front in range(fronts):
        budget.join(front)
    for front, give in steps:
        front %= fronts
        if give and budget.used_by_frontend[front]:
            budget.release(front, 1)
        elif budget.available_to(front) > 0:
            budget.acquire(front, 1)
        assert 0 <= budget.used == sum(budget.used_by_frontend.values()) <= 40
        for other in range(fronts):  # whoever holds less than its own part may take more
            if budget.used_by_frontend[other] + 1 <= 40 * RESERVED_FRACTION / fronts:
                assert budget.available_to(other) > 0


def test_a_front_that_has_gone_takes_its_reserve_along_once_it_holds_nothing():
    budget = Budget(40)
    for front in ("stays", "goes"):
        budget.join(front)
    budget.acquire("goes", 1)
    budget.leave("goes")
    assert budget.available_to("stays") == 40 - 1 - 9  # what it has in work still counts
    budget.release("goes", 1)
    assert budget.available_to("stays") == 40 and budget.used_by_frontend == {"stays": 0}


def test_the_guard_comes_before_the_clients_time_is_up():
    assert 0 < deadlines.DEADLINE_GUARD_MARGIN_S < deadlines.RESPONSE_MARGIN_S


class ScriptedRegistry:
    def __init__(self, *told):
        self.told, self.marked, self.cleared, self.others = list(told), [], [], set()

    def acquire(self, id, left):
        self.marked.append((id, left))
        return self.told.pop(0)

    def is_held(self, id):
        return id in self.others

    def release(self, place):
        self.cleared.append(place)


def write(id):
    return messages.Request(id, 3.0, "c", "p", "note", 1.0, 0, 1, is_write=True)


def test_a_write_in_work_elsewhere_is_not_told_that_it_did_not_run_for_want_of_room():
    w = World(most=1)
    w.core.in_flight_registry = marks = ScriptedRegistry(7)
    w.module.next = [messages.ForwardRequest("a", "h1")]
    w.core.submit("front", write("a"), StubUpstreamRequest(), RecordingSink())
    marks.others, full = {"b"}, RecordingSink()
    with pytest.raises(DuplicateRequestError):
        w.core.submit("front", write("b"), StubUpstreamRequest(), RecordingSink())
    w.core.submit("front", write("c"), StubUpstreamRequest(), full)
    assert full.answers == ["refused"] and [id for id, _ in marks.marked] == ["a"]
    assert w.core.is_in_flight("a", False) and w.core.is_in_flight("b", True)
    assert not w.core.is_in_flight("b", False) and not w.core.is_in_flight("c", True)


def test_a_write_that_another_worker_may_hold_is_not_taken_and_a_mark_goes_with_its_request():
    w = World()
    w.core.in_flight_registry = marks = ScriptedRegistry(7, -1, -2)
    one, full = RecordingSink(), RecordingSink()
    w.module.next = [messages.ForwardRequest("a", "h1")]
    w.core.submit("front", write("a"), StubUpstreamRequest(), one)
    with pytest.raises(DuplicateRequestError):
        w.core.submit("front", write("b"), StubUpstreamRequest(), RecordingSink())
    w.core.submit("front", write("c"), StubUpstreamRequest(), full)
    assert full.answers == ["refused"] and set(w.core.in_flight) == {"a"} and w.core.request_budget.used == 1
    w.take("read")  # repeats of those do no harm: they are not marked
    assert [id for id, _ in marks.marked] == ["a", "b", "c"] and not marks.cleared
    w.hosts.out[0].end("ok")
    assert one.answers == ["served"] and marks.cleared == [7]


class RecordingCheckSink(RecordingSink):
    def grant(self, told):
        self.note(("granted", told.remaining))

    def deny(self, told):
        self.note(("denied", told.is_over_quota))


def check(id, left=3.0):
    return messages.QuotaCheck(id, left, "c", "p", "read", 1.0, 0, 1)


def test_a_check_is_answered_once_and_goes_to_no_host():
    w = World()
    one, two, three = RecordingCheckSink(), RecordingCheckSink(), RecordingCheckSink()
    w.module.next = [
        messages.QuotaGranted("a", 5.0, 1.0, 7),
        messages.QuotaDenied("a", True, 0.0, 0.0, 0.0),
        messages.Reject("a"),
    ]
    w.core.submit_check("front", check("a"), one)
    w.module.next = [messages.QuotaDenied("b", True, 0.5, 0.0, 0.0)]
    w.core.submit_check("front", check("b"), two)
    assert one.answers == [("granted", 5.0)] and two.answers == [("denied", True)] and not w.hosts.sent
    assert not w.core.in_flight and not w.core.request_budget.used
    w.module.next = [messages.ForwardRequest("c", "h1")]  # a module that sends one on: the guard answers
    w.core.submit_check("front", check("c"), three)
    w.loop.fire()
    assert three.answers == ["failed"] and not w.hosts.sent and not w.core.in_flight


def test_a_check_whose_caller_left_and_one_that_the_module_fails_on_or_forgets():
    w = World()
    gone, broken, silent = RecordingCheckSink(), RecordingCheckSink(), RecordingCheckSink()
    w.core.submit_check("front", check("a"), gone)
    w.core.on_client_disconnected(gone)
    assert isinstance(w.module.events[-1], messages.ClientDisconnected)
    w.module.next = ValueError("the module is broken")
    w.core.submit_check("front", check("b"), broken)
    w.core.submit_check("front", check("c"), silent)
    w.loop.fire()
    w.module.next = [messages.QuotaGranted("a", 5.0, 1.0, 7), messages.QuotaGranted("c", 5.0, 1.0, 7)]
    w.core.submit_check("front", check("d"), RecordingCheckSink())  # answers that come late
    assert not gone.answers and broken.answers == silent.answers == ["failed"]


def test_check_in_flight_when_its_frontend_leaves_then_is_finished_and_the_drain_ends():
    w = World()
    sink = RecordingCheckSink()
    w.core.submit_check("front", check("a"), sink)
    w.core.unregister_frontend("front")
    w.core.is_draining = True
    w.core.on_client_disconnected(sink)
    assert not w.core.in_flight and w.core.in_flight_table.drained.is_set()
    assert not w.core.request_budget.used and not w.core.request_budget.used_by_frontend


def test_checks_share_the_room_and_the_ids_of_requests_and_no_plug_in_is_asked():
    w = World(most=1)
    w.core.plugins = None
    w.core.submit_check("front", check("a"), RecordingCheckSink())
    with pytest.raises(DuplicateRequestError):
        w.core.submit_check("front", check("a"), RecordingCheckSink())
    full = RecordingCheckSink()
    w.core.submit_check("front", check("b"), full)
    assert full.answers == ["refused"]
    w = World()
    w.core.plugins = object()  # would raise if it were asked
    w.core.submit_check("front", check("a"), RecordingCheckSink())
    assert type(w.module.events[-1]) is messages.QuotaCheck
    w.core.return_quota(
        messages.QuotaCheck("a", 3.0, "c", "p", "read", 2.0, 0, 1), messages.QuotaGranted("a", 0.0, 1.0, 7)
    )
    assert w.module.events[-1] == messages.ReturnUnits("c", 2.0, 7)
    w.core.return_quota(
        messages.QuotaReservation("b", 1.0, "c", "p", "read", 2.0, 0, 1),
        messages.QuotaGranted("b", 0.0, 1.0, 7),
    )
    assert w.module.events[-1] == messages.ReturnReservation("c", 2.0, 7)

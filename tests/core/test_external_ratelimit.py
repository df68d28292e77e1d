"""An outer service in a request's life: asked before the module hears of it; its word can only tighten."""

import logging

import pytest
from test_request_lifecycle import RecordingSink, StubUpstreamRequest, World, request

from apigateway import messages
from apigateway.core.request_lifecycle import DuplicateRequestError


class ScriptedRateLimiter:
    """Asked about all; says what the test says, when it says it. `now`: decides at once."""

    def __init__(self, now=None):
        self.now, self.asked, self.off = now, [], []

    def applies_to(self, request):
        return request.plan == "p"

    def check(self, request, left, decided):
        if isinstance(self.now, Exception):
            raise self.now
        self.asked.append((request, left, decided))
        if self.now is not None:
            decided(*self.now)
            return None
        return len(self.asked)

    def cancel(self, asked):
        self.off.append(asked)


def world(now=None):
    w = World()
    w.core.external_ratelimit = ScriptedRateLimiter(now)
    return w


def test_the_module_hears_of_a_request_once_it_may_go_on():
    w = world()
    place = w.take("a", [])
    assert not w.module.events and not place.answers
    ((asked, left, decided),) = w.core.external_ratelimit.asked
    assert asked == request("a") and left == 3.0
    w.module.next = [messages.ForwardRequest("a", "h1")]
    decided(True, 0.0)
    heard = w.module.events[0]
    assert type(heard) is messages.Request and 2.0 < heard.remaining <= 3.0
    w.hosts.out[0].end("ok")
    assert place.answers == ["served"] and not w.core.in_flight


def test_what_may_not_go_on_is_refused_by_way_of_the_module():
    w = world()
    place = w.take("a")
    w.module.next = [messages.Reject("a", 0.5)]
    w.core.external_ratelimit.asked[0][2](False, 0.7)
    assert w.module.events == [messages.RejectedByPlugin("a", 0.7)] and place.answers == ["refused"]
    assert not w.hosts.sent and not w.core.in_flight


@pytest.mark.parametrize(
    "now, event", [((True, 0.0), messages.Request), ((False, 0.2), messages.RejectedByPlugin)]
)
def test_one_that_decides_at_once(now, event):
    w = world(now)
    place = w.take("a", [messages.Reject("a")])
    assert type(w.module.events[0]) is event and place.answers == ["refused"] and not w.core.in_flight


def test_a_request_of_nobody_it_is_wanted_for_is_not_asked_about():
    w = world()
    told = messages.Request("a", 3.0, "c", "q", "read", 1.0, 0, 1)
    w.core.submit("front", told, StubUpstreamRequest(), RecordingSink())
    assert w.module.events == [told] and not w.core.external_ratelimit.asked


def test_neither_checks_nor_what_plug_ins_refuse_are_asked_about():
    w = world()

    class Hooks:
        def on_request(self, request):
            return Hooked(), messages.RejectedByPlugin(request.request_id, 0.0)

    class Hooked:
        def on_end(self, outcome):
            pass

    w.core.plugins = Hooks()
    place = w.take("a", [messages.Reject("a")])
    assert place.answers == ["refused"] and not w.core.external_ratelimit.asked


def test_an_outer_that_raises_has_said_nothing(caplog):
    w = world(RuntimeError("broken"))
    with caplog.at_level(logging.ERROR):
        place = w.take("a", [messages.Reject("a")])
    assert [type(e) for e in w.module.events] == [messages.Request] and place.answers == ["refused"]
    assert "could not be asked" in caplog.text


def test_a_client_that_leaves_while_it_is_asked_calls_it_off():
    w = world()
    place = w.take("a")
    w.core.on_client_disconnected(place)
    assert w.core.external_ratelimit.off == [1] and not w.core.in_flight and not place.answers
    w.core.external_ratelimit.asked[0][2](True, 0.0)  # one that says it all the same
    assert [type(e) for e in w.module.events] == [messages.ClientDisconnected]


def test_one_that_never_says_anything_costs_an_answer_in_time():
    w = world()
    place = w.take("a")
    w.loop.fire()  # the guard
    assert place.answers == ["failed"] and w.core.external_ratelimit.off == [1] and not w.core.in_flight
    w.core.external_ratelimit.asked[0][2](True, 0.0)
    assert place.answers == ["failed"] and not w.hosts.sent


def test_it_holds_its_place_meanwhile():
    w = world()
    w.core.request_budget.limit = 1
    w.take("a")
    with pytest.raises(DuplicateRequestError):
        w.take("a")
    assert w.take("b").answers == ["refused"]


def test_a_paid_request_stays_one():
    w = world()
    told = messages.PrepaidRequest("a", 3.0, "c", "p", "read", 1.0, 0, 1)
    w.core.submit("front", told, StubUpstreamRequest(), RecordingSink())
    w.core.external_ratelimit.asked[0][2](True, 0.0)
    assert type(w.module.events[0]) is messages.PrepaidRequest

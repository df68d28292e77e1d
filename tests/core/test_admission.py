"""The turns of the loop, and the beat, without a loop: the scheduler and the clock are the test's."""

import logging

import pytest
from test_request_lifecycle import ManualScheduler

from apigateway.core.admission import LAG_PROBE_INTERVAL_S, READ_TIME_SLICE_S, AdmissionController
from apigateway.core.overload_log import OVERLOAD_END_AFTER_S


class ScriptedGate:
    def __init__(self):
        self.tight, self.shed, self.passed, self.lag = False, 0, 0, 0.0
        self.asked, self.lates, self.heard = [], [], []

    def late(self, now, lag):
        self.lates.append(lag)

    def turned_away(self, now, waited, worth, customer, left):
        self.asked.append(waited)
        return -1.0

    def told(self, now, customer, wait):
        self.heard.append((customer, wait))


class World:
    def __init__(self):
        self.now, self.gate, self.loop = 10.0, ScriptedGate(), ManualScheduler()
        self.door = AdmissionController(self.gate, self.loop, lambda: self.now)

    def ask(self, took=0.0, came=None):
        self.door.retry_after_if_shed(0, "c", 3.0, self.now if came is None else came)
        self.now += took

    def turn(self):
        soon, self.loop.soon = self.loop.soon, []
        for callback, args in soon:
            callback(*args)

    def beat(self, late=0.0):
        timers, self.loop.timers = self.loop.timers, []
        for delay, _, timer in timers:
            self.now += delay + late
            timer.fire()


def test_a_turn_reads_for_a_while_and_the_rest_waits_in_order():
    w, read = World(), []

    def connection(name, commands):
        def go_on():
            while commands and not w.door.is_slice_used_up:
                read.append((name, commands.pop(0)))
                w.ask(READ_TIME_SLICE_S * 0.6)
            if commands:
                w.door.deferred_connections.append(go_on)

        return go_on

    for name in "abc":
        connection(name, list(range(5)))()
    assert read == [("a", 0), ("a", 1), ("a", 2)]  # then the turn is over for all
    w.turn()
    assert read[3:] == [("a", 3), ("a", 4), ("b", 0)]
    for _ in range(10):
        w.turn()
    assert len(read) == 15 and not w.door.deferred_connections
    assert [n for name, n in read if name == "c"] == list(range(5))
    w.turn()
    assert not w.loop.soon  # at rest nothing is left to be called


def test_a_connection_that_raises_leaves_none_behind_it_waiting():
    w, read = World(), []

    def broken():
        raise RuntimeError("the connection is broken")

    w.door.deferred_connections.extend([broken, lambda: read.append("next")])
    with pytest.raises(RuntimeError):
        w.door.start_turn()
    w.turn()
    assert read == ["next"] and not w.door.deferred_connections


def test_what_waits_is_told_to_the_gate():
    w = World()
    w.ask(came=w.now - 0.5)
    assert w.gate.asked == [0.5]


def test_a_beat_tells_how_late_it_is_and_ends_when_nobody_asks():
    w = World()
    w.ask()
    w.beat(0.3)
    w.beat(0.0)
    assert [round(lag, 6) for lag in w.gate.lates] == [0.3, 0.0] and not w.loop.timers
    w.ask()
    w.turn()
    w.ask()
    assert len(w.loop.timers) == 1


def test_what_the_module_refused_is_told_in_overload_only():
    w = World()
    w.door.on_retry_after("c", 1.0)
    w.gate.tight = True
    w.door.on_retry_after("d", 1.0)
    assert w.gate.heard == [("d", 1.0)]


def test_the_log_tells_an_overloads_begin_and_end_once(caplog):
    w = World()
    with caplog.at_level(logging.WARNING):
        w.ask()
        w.gate.tight, w.gate.lag = True, 0.04
        for _ in range(5):
            w.beat()
        w.gate.tight, w.gate.shed, w.gate.passed = False, 7, 3
        for _ in range(int(OVERLOAD_END_AFTER_S / LAG_PROBE_INTERVAL_S / 2)):
            w.beat()
        w.gate.tight = True  # it is the same overload still
        w.beat()
        w.gate.tight = False
        while w.loop.timers:
            w.beat()
    told = [record.getMessage() for record in caplog.records]
    assert len(told) == 2 and "wait 40 ms" in told[0] and "7 turned away, 3 passed" in told[1]

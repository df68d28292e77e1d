"""Drawn connections on the scheduler of clients' input, with a manual clock; the load measures each wait."""

import heapq
import itertools
import math
import random
from dataclasses import dataclass

from core.fakes import ManualScheduler

from apigateway.core.fair_queue import MAX_CHARGED_QUANTA
from apigateway.core.input_scheduler import (
    MIN_SLICE_TIME_S,
    ROUND_TIME_S,
    SLICE_TIME_S,
    ConnectionInput,
    InputScheduler,
)

PAUSE_S = 0.005


@dataclass(frozen=True)
class Behaviour:
    """What each of some connections does, again and again.

    Attributes:
        count: The number of connections.
        burst: Commands that it sends at once.
        command_s: What a command takes.
        idle_s: Time from when its commands are handled until it sends the next.
        is_new: Whether it sends them on a new connection.
        cost_factor: How many times its commands are charged.
        first_at: When it begins.
        pause_after: Commands after which the process is paused for PAUSE_S, as by a collection of garbage.
    """

    count: int
    burst: float
    command_s: float
    idle_s: float
    is_new: bool = False
    cost_factor: float = 1.0
    first_at: float = 0.0
    pause_after: float = math.inf


class LoadedConnection:
    """A connection that sends bursts of commands, and what the load knows of its input."""

    def __init__(self, load, behaviour):
        self.load = load
        self.behaviour = behaviour
        self.commands_left = 0.0
        self.commands_until_pause = behaviour.pause_after
        self.input = ConnectionInput(self.handle_input)
        self.waits_since = (
            None  # what it was charged, the time given to all, and services, when it was queued
        )
        self.largest_charge_s = 0.0
        self.charged_s = 0.0

    def send(self):
        self.commands_left = self.behaviour.burst
        self.load.scheduler.handle(self.input)
        self.load.note_wait(self)

    def handle_input(self, until):
        load = self.load
        load.on_begun(self)
        started_at = load.now
        paused_s = 0.0
        while self.commands_left:
            self.commands_left -= 1
            load.now += self.behaviour.command_s
            self.commands_until_pause -= 1
            if not self.commands_until_pause:
                self.commands_until_pause = self.behaviour.pause_after
                load.now += PAUSE_S
                paused_s += PAUSE_S
            if load.now >= until:
                break
        self.input.cost_factor = self.behaviour.cost_factor
        load.on_handled(self, load.now - started_at, paused_s)
        return self.commands_left > 0


@dataclass
class Wait:
    """How long input waited.

    Attributes:
        charge_s: The most that a service to it was charged before, but at least its slice.
        others_s: The time that the input of others was given meanwhile, without pauses of the process.
        others: The most other connections that waited at a time.
    """

    charge_s: float
    others_s: float
    others: int


class InputLoad:
    """Plays behaviours on an `InputScheduler`, one service of input after another."""

    def __init__(self, behaviours, seed):
        self.now = 10.0
        self.loop = ManualScheduler()
        self.scheduler = InputScheduler(self.loop, lambda: self.now)
        self.handled_s = 0.0
        self.queue_lengths = []  # at each service
        self.waits = []
        self.longest_command_s = max(behaviour.command_s for behaviour in behaviours)
        self.waiting = set()  # connections whose input waits
        self.on_service = lambda connection: None
        self._random = random.Random(seed)
        self._arrivals = []
        self._numbers = itertools.count()
        self._unnoted = []
        for behaviour in behaviours:
            for _ in range(behaviour.count):
                spread_s = self._random.uniform(0.0, behaviour.idle_s)
                self._schedule(self.now + behaviour.first_at + spread_s, LoadedConnection(self, behaviour))

    def run(self, services):
        """Play until so many services of input; note the waits of what still waits then."""
        while len(self.queue_lengths) < services and (self._arrivals or self.loop.ready_callbacks):
            if not self.loop.ready_callbacks:
                self.now = max(self.now, self._arrivals[0][0])
            while self._arrivals and self._arrivals[0][0] <= self.now:
                heapq.heappop(self._arrivals)[2].send()
            callbacks, self.loop.ready_callbacks = self.loop.ready_callbacks, []
            for callback, arguments in callbacks:
                callback(*arguments)
            self._note_requeued()
        for connection in list(self.waiting):
            self.on_begun(connection)

    def note_wait(self, connection):
        """Note that a connection's input waits from now on, if it does."""
        if connection.input.is_queued and connection not in self.waiting:
            self.waiting.add(connection)
            slice_s = min(SLICE_TIME_S, ROUND_TIME_S / self.scheduler.queue_length)
            charge_s = max(connection.largest_charge_s, slice_s, MIN_SLICE_TIME_S)
            connection.waits_since = (charge_s, self.handled_s, len(self.queue_lengths))

    def on_begun(self, connection):
        """Record the wait of input that is begun now."""
        self._note_requeued()
        if connection not in self.waiting:
            return
        self.waiting.remove(connection)
        charge_s, handled_s, first_service = connection.waits_since
        others = max([*self.queue_lengths[first_service:], self.scheduler.queue_length])
        self.waits.append(Wait(charge_s, self.handled_s - handled_s, others))

    def on_handled(self, connection, elapsed_s, paused_s):
        """Record a service, and schedule the next commands of a connection that has no more."""
        self.handled_s += elapsed_s - paused_s
        self.queue_lengths.append(self.scheduler.queue_length)
        charged_s = min(elapsed_s, MAX_CHARGED_QUANTA * connection.input.quantum_s)
        charge_s = charged_s * connection.behaviour.cost_factor
        connection.charged_s += charge_s
        connection.largest_charge_s = max(connection.largest_charge_s, charge_s)
        self.on_service(connection)
        if connection.commands_left:
            self._unnoted.append(connection)
            return
        if not math.isfinite(connection.behaviour.burst):
            return
        idle_s = connection.behaviour.idle_s * self._random.choice((0.5, 1.0, 1.0))
        if connection.behaviour.is_new:
            connection = LoadedConnection(self, connection.behaviour)
        self._schedule(self.now + idle_s, connection)

    def _schedule(self, at, connection):
        heapq.heappush(self._arrivals, (at, next(self._numbers), connection))

    def _note_requeued(self):
        """Note the waits of connections whose service left commands: they were queued again after it."""
        unnoted, self._unnoted = self._unnoted, []
        for connection in unnoted:
            self.note_wait(connection)

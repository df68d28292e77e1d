"""Fakes of the core's collaborators, and a dispatcher that uses them without sockets and an event loop."""

import heapq
import itertools

from helpers import make_settings

from apigateway import messages
from apigateway.core.request_lifecycle import RequestDispatcher


class ManualScheduler:
    """A scheduler whose timers fire when the test calls `fire_timers`."""

    def __init__(self):
        self.timers = []  # heap of (delay, number, timer)
        self.ready_callbacks = []
        self.timer_numbers = itertools.count()

    def call_later(self, delay, callback, *args):
        timer = ManualTimer(callback, args)
        heapq.heappush(self.timers, (delay, next(self.timer_numbers), timer))
        return timer

    def call_soon(self, callback, *args):
        self.ready_callbacks.append((callback, args))

    def fire_timers(self):
        while self.timers:
            heapq.heappop(self.timers)[2].fire()


class ManualTimer:
    """A timer of `ManualScheduler`."""

    def __init__(self, callback, args):
        self.callback = callback
        self.args = args
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True

    def fire(self):
        if not self.is_cancelled:
            self.callback(*self.args)


class FakeAttempt:
    """An attempt that ends when the test calls `end`."""

    def __init__(self, endpoint_id, payload, on_ended, tag):
        self.endpoint_id = endpoint_id
        self.payload = payload
        self.on_ended = on_ended
        self.tag = tag
        self.result = ""
        self.value = b""
        self.metered_use = 0
        self.load_report = {}
        self.is_written = False

    def elapsed(self):
        return 0.01

    def end(self, result):
        if not self.result:
            self.result = result
            self.value = b"value"
            self.on_ended(self)


class FakeUpstreamPool:
    """Records each attempt that was sent."""

    create_attempt = FakeAttempt

    def __init__(self):
        self.sent = []
        self.sent_after_finish = []  # attempts of requests that were already finished
        self.addresses = {}

    def send(self, attempt, timeout):
        assert timeout > 0 and not attempt.result
        in_flight, _ = attempt.tag
        if in_flight.is_finished:
            self.sent_after_finish.append(attempt)
        self.sent.append(attempt)

    def abandon(self, attempt, result):
        attempt.end(result if attempt.is_written else "connect_failed")

    def check_health(self, endpoint_id, on_ended):
        on_ended(FakeAttempt(endpoint_id, b"", on_ended, None))

    def close_idle_connections(self, endpoint_id):
        pass

    def update_endpoint(self, endpoint_id, address):
        self.addresses[endpoint_id] = address

    def known_endpoints(self):
        return {endpoint_id for endpoint_id, address in self.addresses.items() if address}


class RecordingSink:
    """Records each answer. With `is_broken` it raises on every answer."""

    def __init__(self, is_broken=False):
        self.token = None
        self.answers = []
        self.is_broken = is_broken
        self.is_connected = True

    def record(self, answer):
        self.answers.append(answer)
        if self.is_broken:
            raise RuntimeError("the frontend is broken")

    def is_client_connected(self):
        return self.is_connected

    def complete(self, value):
        self.record("served")

    def reject(self, retry_after):
        self.record("refused")

    def fail(self):
        self.record("failed")


class RecordingCheckSink(RecordingSink):
    """Records each answer to a quota check."""

    def grant(self, granted):
        self.record(("granted", granted.remaining))

    def deny(self, denied):
        self.record(("denied", denied.is_over_quota))


class FakeUpstreamRequest:
    """An upstream request whose body has 10 bytes."""

    size_bytes = 10

    def encode(self, remaining):
        return b"x"


class ScriptedModule:
    """Returns `next_actions` for the next event, or raises it if it is an exception."""

    def __init__(self):
        self.next_actions = []
        self.events = []

    def handle(self, now, event):
        self.events.append(event)
        actions, self.next_actions = self.next_actions, []
        if isinstance(actions, Exception):
            raise actions
        return actions


class ScriptedRegistry:
    """Returns the given slots or failures from `acquire`, in order."""

    def __init__(self, *slots):
        self.slots = list(slots)
        self.acquired = []
        self.released = []
        self.held_elsewhere = set()

    def acquire(self, request_id, remaining):
        self.acquired.append((request_id, remaining))
        return self.slots.pop(0)

    def is_held(self, request_id):
        return request_id in self.held_elsewhere

    def release(self, slot):
        self.released.append(slot)


def make_request(request_id, remaining=3.0):
    return messages.Request(request_id, remaining, "c", "p", "read", 1.0, 0, 1)


def make_write_request(request_id):
    return messages.Request(request_id, 3.0, "c", "p", "note", 1.0, 0, 1, is_write=True)


def make_quota_check(request_id, remaining=3.0):
    return messages.QuotaCheck(request_id, remaining, "c", "p", "read", 1.0, 0, 1)


class DispatcherHarness:
    """A dispatcher with one frontend, named "front", and a constant clock."""

    def __init__(self, max_in_flight=100, max_client_bytes=10_000, discovery_mode="push", **limits):
        self.module = ScriptedModule()
        self.upstream = FakeUpstreamPool()
        self.loop = ManualScheduler()
        self.core = RequestDispatcher(
            make_settings(limits={"can_hedge": False, **limits}, discovery_mode=discovery_mode),
            self.module,
            self.upstream,
            None,
            self.loop,
            max_in_flight,
            max_client_bytes,
            clock=lambda: 1000.0,
        )
        self.core.register_frontend("front")

    def submit(self, request_id, actions=(), frontend="front", is_sink_broken=False, remaining=3.0):
        """Submit a request to which the module responds with `actions`; return the request's sink."""
        sink = RecordingSink(is_sink_broken)
        self.module.next_actions = actions if isinstance(actions, Exception) else list(actions)
        request = make_request(request_id, remaining)
        self.core.submit(frontend, request, FakeUpstreamRequest(), sink)
        return sink

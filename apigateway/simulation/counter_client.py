"""Calls of a simulated gateway to the quota counter."""

from __future__ import annotations

from apigateway import messages
from apigateway.simulation.gateway_context import GatewayContext
from apigateway.simulation.metrics import Metric
from apigateway.simulation.quota_counter import CounterReply

TIMED_OUT = CounterReply(result=messages.CounterCallResult.TIMEOUT, total=0.0)


class CounterCall:
    """A call to the counter, until it is answered or times out."""

    __slots__ = ("_context", "_incarnation", "_is_pending", "_key", "_started_at")

    def __init__(self, context: GatewayContext, key: int) -> None:
        self._context = context
        self._key = key
        self._started_at = context.environment.clock.now
        self._incarnation = context.incarnation
        self._is_pending = True

    def send_reply(self, reply: CounterReply) -> None:
        """Send the counter's reply to the gateway."""
        environment = self._context.environment
        environment.network.send(environment.counter_location, self._context.location, self._on_reply, reply)

    def on_timeout(self) -> None:
        """Time out the call, unless it has been answered."""
        if self._is_pending:
            self._context.environment.metrics.count(Metric.COUNTER_TIMEOUTS)
        self._on_reply(TIMED_OUT)

    def _on_reply(self, reply: CounterReply) -> None:
        if not self._is_pending or self._incarnation != self._context.incarnation:
            return
        self._is_pending = False
        elapsed = self._context.environment.clock.now - self._started_at
        self._context.dispatch(messages.CounterResult(self._key, reply.result, reply.total, elapsed))


def add_to_counter(context: GatewayContext, action: messages.AddToCounter) -> None:
    """Send an addition to the counter; its result is passed to the decision module."""
    environment = context.environment
    environment.metrics.count(Metric.COUNTER_CALLS)
    call = CounterCall(context, action.counter_key)
    environment.clock.call_later(environment.counter_timeout, call.on_timeout)
    environment.network.send(
        context.location,
        environment.counter_location,
        environment.quota_counter.add,
        action.counter_key,
        action.amount,
        action.lifetime,
        call.send_reply,
    )

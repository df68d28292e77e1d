"""Carry out the decision module's actions that do not belong to a single request.

These are health checks, calls to the quota counter, timers and updates of the endpoint list. Each result is
dispatched to the decision module as an event.
"""

from __future__ import annotations

import logging

from apigateway import messages
from apigateway.core.context import CoreContext
from apigateway.core.event_dispatcher import EventDispatcher
from apigateway.core.interfaces import UpstreamAttempt
from apigateway.event_loop import call_after_poll
from apigateway.messages import CounterCallResult

# Resolution of the event loop's timers, which may fire early by as much.
TIMER_RESOLUTION_S = 0.001

log = logging.getLogger(__name__)


class GatewayActions:
    """Handlers of these actions, each named after its action."""

    def __init__(self, context: CoreContext, events: EventDispatcher) -> None:
        self._context = context
        self._events = events
        self._expired_timers: list[int] = []  # labels, until the module is notified

    def check_health(self, action: messages.CheckHealth) -> None:
        """Start a health check of an endpoint."""
        self._context.upstream.check_health(action.endpoint_id, self._on_health_checked)

    def _on_health_checked(self, attempt: UpstreamAttempt) -> None:
        self._events.dispatch(
            messages.HealthCheckResult(
                attempt.endpoint_id, attempt.result, attempt.elapsed(), attempt.load_report
            )
        )

    def add_to_counter(self, action: messages.AddToCounter) -> None:
        """Add to a total on the quota counter; without a counter, report CONNECT_FAILED."""
        context = self._context
        if context.counter is None:
            result = CounterCallResult.CONNECT_FAILED
            context.loop.call_soon(self._on_counter_result, action.counter_key, result, 0.0, 0.0)
        else:
            context.counter.add(action.counter_key, action.amount, action.lifetime, self._on_counter_result)

    def _on_counter_result(
        self, counter_key: int, result: CounterCallResult, total: float, elapsed: float
    ) -> None:
        self._events.dispatch(messages.CounterResult(counter_key, result, total, elapsed))

    def set_timer(self, action: messages.SetTimer) -> None:
        """Start a timer of the decision module."""
        context = self._context
        due_at = context.clock() + action.delay
        context.loop.call_later(action.delay, self._on_timer, action.label, due_at)

    def _on_timer(self, label: int, due_at: float) -> None:
        # The decision module would take an early timer for a different one and would not set a new one.
        context = self._context
        remaining = due_at - context.clock()
        if remaining > 0:
            context.loop.call_later(remaining + TIMER_RESOLUTION_S, self._on_timer, label, due_at)
            return
        self._expired_timers.append(label)
        if remaining > -TIMER_RESOLUTION_S:
            self.dispatch_expired_timers()
        else:  # the loop was held up: replies that have arrived are read before the timer finds them missing
            call_after_poll(context.loop, self.dispatch_expired_timers)

    def dispatch_expired_timers(self) -> None:
        """Notify the decision module of the timers that have expired."""
        labels = self._expired_timers
        self._expired_timers = []
        for label in labels:
            self._events.dispatch(messages.TimerExpired(label))

    def close_idle_connections(self, action: messages.CloseIdleConnections) -> None:
        """Close the idle connections to an endpoint."""
        self._context.upstream.close_idle_connections(action.endpoint_id)

    def fetch_endpoints(self, action: messages.FetchEndpoints) -> None:
        """Fetch the endpoint list once."""
        if self._context.endpoint_source is not None:
            self._context.endpoint_source.fetch()

    def watch_endpoints(self, action: messages.WatchEndpoints) -> None:
        """Start or stop watching the endpoint list."""
        if self._context.endpoint_source is not None:
            self._context.endpoint_source.watch(action.is_on)

    def log_message(self, action: messages.LogMessage) -> None:
        """Log a message of the decision module."""
        log.info("decision module: %s", action.text)

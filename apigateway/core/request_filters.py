"""Apply plug-ins and the external rate limiter to a request before the decision module handles it."""

from __future__ import annotations

import logging
import time
from dataclasses import replace

from apigateway import messages
from apigateway.core.context import CoreContext
from apigateway.core.event_dispatcher import EventDispatcher
from apigateway.core.in_flight_request import InFlightRequest
from apigateway.core.interfaces import ExternalRateLimiter, PluginChain

log = logging.getLogger(__name__)


class RequestFilters:
    """The filters of an accepted request: first the plug-ins, then the external rate limiter.

    A filter that raises is skipped.
    """

    def __init__(self, context: CoreContext, events: EventDispatcher) -> None:
        self._context = context
        self._events = events

    def apply(self, in_flight: InFlightRequest, request: messages.Request) -> None:
        """Dispatch a request as changed by the filters, or its rejection by them."""
        plugins = self._context.plugins
        event: messages.Request | messages.RejectedByPlugin = request
        if plugins is not None:
            event = self._apply_plugins(plugins, in_flight, request)
        limiter = self._context.external_ratelimit
        if limiter is not None and isinstance(event, messages.Request) and limiter.applies_to(event):
            self._check_external_ratelimit(limiter, in_flight, event)
        else:
            self._events.dispatch(event)

    def expire(self, in_flight: InFlightRequest) -> None:
        """End the check of a request whose deadline has passed, and dispatch the request or its rejection."""
        limiter = self._context.external_ratelimit
        if limiter is None or in_flight.pending_check is None:
            return
        try:
            limiter.expire(in_flight.pending_check)
        except Exception:
            log.exception("request %s: the external rate limit check failed", in_flight.request_id)

    def _apply_plugins(
        self, plugins: PluginChain, in_flight: InFlightRequest, request: messages.Request
    ) -> messages.Request | messages.RejectedByPlugin:
        """Return the event that the plug-ins return for a request, or the unchanged request if they raise."""
        try:
            in_flight.plugins, event = plugins.on_request(request)
            return event
        except Exception:
            log.exception("request %s: a plug-in failed to handle the request", in_flight.request_id)
            return request

    def _check_external_ratelimit(
        self, limiter: ExternalRateLimiter, in_flight: InFlightRequest, request: messages.Request
    ) -> None:
        """Check a request, and dispatch it or its rejection once the external rate limiter has decided.

        The settings decide in place of a limiter that cannot. Until the decision the request keeps its
        capacity, and the deadline guard fails it in time.
        """

        def on_decided(is_allowed: bool, retry_after: float) -> None:
            in_flight.pending_check = None
            if in_flight.is_finished:
                return
            if is_allowed:
                remaining = in_flight.deadline - time.monotonic()
                self._events.dispatch(replace(request, remaining=remaining))
            else:
                self._events.dispatch(messages.RejectedByPlugin(in_flight.request_id, retry_after))

        try:
            in_flight.pending_check = limiter.check(request, request.remaining, on_decided)
        except Exception:
            log.exception("request %s: the external rate limit check failed", in_flight.request_id)
            if not in_flight.is_finished:
                self._events.dispatch(request)

"""Pass events to the decision module one at a time, and its actions to their handlers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from apigateway import messages
from apigateway.core.context import CoreContext
from apigateway.core.repeated_errors import RepeatedErrorLog

# Carries out one action. Each handler is called only with actions of the type it is registered for.
ActionHandler = Callable[[Any], None]


class EventDispatcher:
    """Serializes all events for the decision module, which handles one event at a time.

    The action handlers need the dispatcher, so they are set by `register` after it is created.
    """

    def __init__(self, context: CoreContext) -> None:
        self._context = context
        self._events: deque[messages.Event] = deque()
        self._is_dispatching = False
        self._errors = RepeatedErrorLog(context.loop)
        self._on_module_error: Callable[[messages.Event], None] | None = None
        self._customer_of: Callable[[messages.Event], str] = _no_customer
        self.action_handlers: dict[type, ActionHandler] = {}

    def register(
        self,
        action_handlers: Mapping[type, ActionHandler],
        on_module_error: Callable[[messages.Event], None],
        customer_of: Callable[[messages.Event], str],
    ) -> None:
        """Set the handlers of actions and of errors.

        Args:
            action_handlers: Handlers by the type of action.
            on_module_error: Called with the event on which the decision module raised an exception.
            customer_of: Returns the customer of the request of an event, for the log; empty if it has none.
        """
        self.action_handlers.update(action_handlers)
        self._on_module_error = on_module_error
        self._customer_of = customer_of

    def dispatch(self, event: messages.Event) -> None:
        """Pass an event to the decision module; events that its actions cause meanwhile are queued.

        `ClientDisconnected` goes to the front of the queue, so that the decision module does not decide
        anything more for that request.
        """
        if isinstance(event, messages.ClientDisconnected):
            self._events.appendleft(event)
        else:
            self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_dispatching = False

    def _handle(self, event: messages.Event) -> None:
        context = self._context
        try:
            actions = context.module.handle(context.clock(), event)
        except Exception as error:  # a failure on one request must not affect the others
            self._errors.record(
                f"the decision module raised on event {type(event).__name__}",
                f"customer {self._customer_of(event) or 'unknown'}",
                error,
            )
            if self._on_module_error is not None:
                self._on_module_error(event)
            return
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception as error:  # the other actions still run; the deadline guard answers the request
                self._errors.record(
                    f"failed to carry out action {type(action).__name__}", repr(action), error
                )


def _no_customer(_event: messages.Event) -> str:
    return ""

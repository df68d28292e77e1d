"""Pass events to the decision module one at a time, and its actions to their handlers."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from apigateway import messages
from apigateway.core.context import CoreContext

# Carries out one action. Each handler is called only with actions of the type it is registered for.
ActionHandler = Callable[[Any], None]

log = logging.getLogger(__name__)


class EventDispatcher:
    """Serializes all events for the decision module, which handles one event at a time.

    The action handlers need the dispatcher, so they are set by `register` after it is created.
    """

    def __init__(self, context: CoreContext) -> None:
        self._context = context
        self._events: deque[messages.Event] = deque()
        self._is_dispatching = False
        self._on_module_error: Callable[[messages.Event], None] | None = None
        self.action_handlers: dict[type, ActionHandler] = {}

    def register(
        self,
        action_handlers: Mapping[type, ActionHandler],
        on_module_error: Callable[[messages.Event], None],
    ) -> None:
        """Set the handlers of actions and of errors.

        Args:
            action_handlers: Handlers by the type of action.
            on_module_error: Called with the event on which the decision module raised an exception.
        """
        self.action_handlers.update(action_handlers)
        self._on_module_error = on_module_error

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
        except Exception:  # a failure on one request must not affect the others
            log.exception("the decision module raised on event %s", type(event).__name__)
            if self._on_module_error is not None:
                self._on_module_error(event)
            return
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:  # the other actions still run; the deadline guard answers the request
                log.exception("failed to carry out action %r", action)

"""Hand events to the decision module one after another, and its actions to their handlers."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from apigateway import messages
from apigateway.core.context import CoreContext

# Carries out one action; a handler of `ForwardRequest` is given only those.
ActionHandler = Callable[[Any], None]

log = logging.getLogger(__name__)


class EventDispatcher:
    """The one way to the decision module, which handles a single event at a time.

    `register` completes it: the handlers need the dispatcher themselves.
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
        """Set who carries out the actions, by their types.

        Args:
            action_handlers: By the type of the action.
            on_module_error: Called with the event on which the decision module raised.
        """
        self.action_handlers.update(action_handlers)
        self._on_module_error = on_module_error

    def dispatch(self, event: messages.Event) -> None:
        """Hand an event to the decision module; what its actions cause at once waits its turn.

        But the end of a request goes before all that waits, so that nothing is decided for it any more.
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
        except Exception:  # one request must not take the others along
            log.exception("the module failed on %s", type(event).__name__)
            if self._on_module_error is not None:
                self._on_module_error(event)
            return
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:  # nor one action the rest; the deadline timer answers what it was for
                log.exception("%r could not be carried out", action)

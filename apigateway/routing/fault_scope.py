"""The scopes in which a host may fail: wholly, for a class of requests, for a customers' plan."""

from __future__ import annotations


class FaultScope(tuple[str, ...]):
    """The scopes of one kind of request, the widest first.

    There is one object for each kind, compared and hashed by identity: it is a key of each look at a host.
    """

    __slots__ = ()
    __hash__ = object.__hash__
    __eq__ = object.__eq__


class FaultScopes:
    """One scope for each class and plan of requests."""

    def __init__(self) -> None:
        self._scopes: dict[tuple[str, str], FaultScope] = {}

    def get(self, class_name: str, plan_name: str, limit_name: str) -> FaultScope:
        """Return the scope of a class and plan; `limit_name`: what the plan is called in it."""
        scope = self._scopes.get((class_name, plan_name))
        if scope is None:
            scope = FaultScope(("host", "class " + class_name, "plan " + limit_name))
            self._scopes[class_name, plan_name] = scope
        return scope

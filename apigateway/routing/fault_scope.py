"""The scopes in which a host may fail: all requests, one class of requests, one plan."""

from __future__ import annotations


class FaultScope(tuple[str, ...]):
    """The scopes of one kind of request, widest first.

    There is one object for each kind. It is compared and hashed by identity, which is faster: it is a
    dictionary key in every endpoint lookup.
    """

    __slots__ = ()
    __hash__ = object.__hash__
    __eq__ = object.__eq__


class FaultScopes:
    """Creates one `FaultScope` for each pair of class and plan."""

    def __init__(self) -> None:
        self._scopes: dict[tuple[str, str], FaultScope] = {}

    def get(self, class_name: str, plan_name: str, limit_name: str) -> FaultScope:
        """Return the scope of a class and plan, in which the plan is called `limit_name`."""
        scope = self._scopes.get((class_name, plan_name))
        if scope is None:
            scope = FaultScope(("host", "class " + class_name, "plan " + limit_name))
            self._scopes[class_name, plan_name] = scope
        return scope

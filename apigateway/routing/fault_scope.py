"""The scopes in which a host may fail: wholly, for a class of requests, for a customers' plan."""

from __future__ import annotations


class FaultScope(tuple[str, ...]):
    """The scopes of one kind of request, the widest first.

    There is one object for each kind, compared and hashed by identity: it is a key of each look at a host.
    """

    __slots__ = ()
    __hash__ = object.__hash__
    __eq__ = object.__eq__

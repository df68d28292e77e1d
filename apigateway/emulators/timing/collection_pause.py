"""Keeps Python's garbage collector from stopping the loop of clients and hosts while they are measured."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def pause_garbage_collection() -> Iterator[None]:
    """Collect garbage now, and then not again until the context ends.

    A full collection of a large heap, such as that of a test run, takes half a second, in which no client
    reads its answers. What a short run leaves in cycles meanwhile is small.
    """
    was_enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()

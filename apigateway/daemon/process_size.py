"""The size of this process, and the return of freed memory to the system."""

from __future__ import annotations

import ctypes
import os
import resource
from collections.abc import Callable

PAGE_BYTES = resource.getpagesize()
STATM_PATH = "/proc/self/statm"
_STATM_BYTES = 128
_RESIDENT_FIELD = 1


class ProcessSize:
    """Reads the resident size of this process."""

    def __init__(self, path: str = STATM_PATH) -> None:
        self._path = path

    def read(self) -> int | None:
        """Return the size in bytes; None if the platform does not tell."""
        try:
            descriptor = os.open(self._path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            return int(os.read(descriptor, _STATM_BYTES).split()[_RESIDENT_FIELD]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return None
        finally:
            os.close(descriptor)


def find_trim() -> Callable[[], object] | None:
    """Return a function that returns freed memory to the system; None if the C library has none.

    The C library keeps freed memory between blocks that are still in use, so after a burst of large bodies
    the process would stay as large as it was at the burst's peak.
    """
    try:
        malloc_trim = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return None
    return lambda: malloc_trim(0)

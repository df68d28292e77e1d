"""The buffer that all client connections are read into.

A read callback empties it before the next one runs, so the connections of a process share one. Its size
limits how much of one connection is read at once: the event loop itself would read 256 KiB.
"""

from __future__ import annotations

READ_BYTES = 16 * 1024

READ_BUFFER = memoryview(bytearray(READ_BYTES))

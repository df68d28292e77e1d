"""Which protective stage a process is in, by its size as a share of its memory limit.

The account of the memory for clients counts what is known to be held. The stages, as those of Envoy's
overload manager, act on the size itself, so they also hold for what nothing counts. A stage is left at a
lower size than it is entered at, so that it does not flap.
"""

from __future__ import annotations

from enum import IntEnum


class PressureStage(IntEnum):
    """What is done; each stage includes those before it."""

    NORMAL = 0
    TRIM = 1  # freed memory is returned, and no command is read ahead of the one in progress
    CLOSE_LARGEST = 2  # unfinished commands and unread responses that hold most are closed
    REJECT = 3  # new requests are rejected, and new connections wait in the kernel's queue
    CLOSE_IDLE = 4  # connections without an accepted request are closed


# Share of the memory limit at which each stage is entered.
STAGE_SHARES = {
    PressureStage.TRIM: 0.6,
    PressureStage.CLOSE_LARGEST: 0.7,
    PressureStage.REJECT: 0.8,
    PressureStage.CLOSE_IDLE: 0.9,
}
# With a larger share of the limit used at the start, the stages are shares of what is left above the start:
# a small limit must not reject requests before there are any.
MAX_START_SHARE = 0.5
# A stage is left at this share of the limit below the one at which it is entered.
EXIT_MARGIN_SHARE = 0.05


class MemoryPressure:
    """The stage of a process.

    Args:
        limit_bytes: The memory limit, above which the process is killed.
        start_bytes: The size of the process without clients.

    Attributes:
        stage: The current stage.
        largest_bytes: The largest size so far.
    """

    def __init__(self, limit_bytes: int, start_bytes: int = 0) -> None:
        self._base_bytes = start_bytes if start_bytes > limit_bytes * MAX_START_SHARE else 0
        self._room_bytes = max(1, limit_bytes - self._base_bytes)
        self.stage = PressureStage.NORMAL
        self.largest_bytes = 0

    def update(self, size_bytes: int) -> PressureStage:
        """Take the size of the process, and return the stage."""
        self.largest_bytes = max(self.largest_bytes, size_bytes)
        share = (size_bytes - self._base_bytes) / self._room_bytes
        entered = max((stage for stage, enter in STAGE_SHARES.items() if share >= enter), default=_NORMAL)
        kept = max(
            (stage for stage, enter in STAGE_SHARES.items() if share >= enter - EXIT_MARGIN_SHARE),
            default=_NORMAL,
        )
        self.stage = max(entered, min(self.stage, kept))
        return self.stage

    def excess_bytes(self, size_bytes: int) -> int:
        """Return by how much the process is larger than where CLOSE_LARGEST is left."""
        share = STAGE_SHARES[PressureStage.CLOSE_LARGEST] - EXIT_MARGIN_SHARE
        return max(0, size_bytes - self._base_bytes - int(self._room_bytes * share))


_NORMAL = PressureStage.NORMAL

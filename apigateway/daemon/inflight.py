"""Which writes are in work at any worker of one address, in memory that they share.

A client whose kept connection ends may ask again on a new one, since a connection may be closed between
requests.
Where its worker has died, the new one is another worker's, which cannot know that the request may have run.
So each
worker marks a write before anything is done for it, and none takes what is marked, until the mark is taken
away or
the client's time is over: a worker that dies leaves its marks.
"""

from __future__ import annotations

import hashlib
import mmap
import struct
import time

SLOTS = 16_384  # marks of one worker
PROBES = 32  # places at which a mark may lie
MARK = struct.Struct("<Qd")  # hash of the id, 0: none; until when it holds, s of the system's monotonic clock
REGION = SLOTS * MARK.size
LATE = 1.0  # s past its client's time that a mark holds

HELD, FULL = -1, -2


class InFlight:
    """`number`'s view of the marks of `count` workers. `descriptor` is of a file of size(count) zero
    bytes."""

    def __init__(self, descriptor: int, number: int, count: int) -> None:
        self.memory = mmap.mmap(descriptor, size(count))
        self.own, self.count = number * REGION, count

    def acquire(self, id: str, left: float) -> int:
        """The mark's place, for `clear`; HELD: another worker, or this one's predecessor, has it; FULL: no
        place.
        Nothing waits: each looks again once its own mark stands, so of two that mark the same neither takes
        it. That
        leaves the nanoseconds in which a processor has not passed a write on to the others; there is no
        lock."""
        hash = hashed(id)
        now, memory, free = time.monotonic(), self.memory, FULL
        if self.stands(hash, now):
            return HELD
        for step in range(PROBES):
            place = self.own + (hash + step) % SLOTS * MARK.size
            found, until = MARK.unpack_from(memory, place)
            if not found or until < now:
                free = place
                break
        if free == FULL:
            return FULL
        MARK.pack_into(memory, free, hash, now + left + LATE)
        if self.stands(hash, now, free):
            self.release(free)
            return HELD
        return free

    def is_held(self, id: str) -> bool:
        """Whether a mark of anyone stands for it."""
        return self.stands(hashed(id), time.monotonic())

    def stands(self, hash: int, now: float, but: int = -1) -> bool:
        memory = self.memory
        for region in range(0, self.count * REGION, REGION):
            for step in range(PROBES):
                place = region + (hash + step) % SLOTS * MARK.size
                found, until = MARK.unpack_from(memory, place)
                if found == hash and until >= now and place != but:
                    return True
        return False

    def release(self, place: int) -> None:
        MARK.pack_into(self.memory, place, 0, 0.0)

    def close(self) -> None:
        self.memory.close()


def hashed(id: str) -> int:
    return int.from_bytes(hashlib.blake2b(id.encode(), digest_size=8).digest(), "little") | 1


def size(count: int) -> int:
    return count * REGION

"""Register the writes in flight at all workers of one address, in memory that the workers share.

A client whose connection ends may repeat its request on a new one, since a server may close a connection
between requests. Where its worker has died, the new connection is another worker's, which cannot know that
the request may have been executed. So each worker marks a write before anything is done for it, and none
accepts a write that is marked, until the mark is released or the client's deadline has passed. A worker that
dies leaves its marks.

Each worker has a region of the memory to write to and reads all regions. A region is a hash table with linear
probing; a slot holds a hash of the request id (0: free) and the time until which the mark holds. Successive
versions of the program share this memory during a hand-over: its layout must stay.
"""

from __future__ import annotations

import hashlib
import mmap
import struct
import time

from apigateway.core.outcomes import AcquireFailure

# Marks that one worker can hold.
SLOTS_PER_REGION = 16_384
# Slots in which a mark may lie, from the one that its hash names.
MAX_PROBES = 32
# Hash of the request id; seconds of the system's monotonic clock until which the mark holds.
SLOT_LAYOUT = struct.Struct("<Qd")
REGION_BYTES = SLOTS_PER_REGION * SLOT_LAYOUT.size
# Seconds past its client's deadline that a mark holds, for clients that give up a little late.
EXPIRY_MARGIN_S = 1.0

_HASH_BYTES = 8
_NO_SLOT = -1  # no offset of a slot


class InFlightWriteTable:
    """One worker's view of the marks of all workers."""

    def __init__(self, descriptor: int, region_index: int, region_count: int) -> None:
        """Map the shared memory.

        Args:
            descriptor: Of a file of `shared_memory_size(region_count)` bytes, zeros at first.
            region_index: Which region is this worker's.
            region_count: How many regions there are.
        """
        self._memory = mmap.mmap(descriptor, shared_memory_size(region_count))
        self._own_region = region_index * REGION_BYTES
        self._region_count = region_count

    def acquire(self, request_id: str, remaining: float) -> int:
        """Mark a write as in flight.

        Nothing waits and there is no lock: each worker looks again once its own mark is written, so of two
        that mark the same write neither accepts it. That leaves the nanoseconds in which a processor has not
        made a write visible to the others.

        Args:
            request_id: The request's.
            remaining: Seconds to the client's deadline.

        Returns:
            The mark's offset, for `release`; or an AcquireFailure.
        """
        id_hash = _hash_id(request_id)
        now = time.monotonic()
        if self._is_marked(id_hash, now):
            return AcquireFailure.ALREADY_HELD
        offset = self._find_free_slot(id_hash, now)
        if offset == _NO_SLOT:
            return AcquireFailure.NO_FREE_SLOT
        SLOT_LAYOUT.pack_into(self._memory, offset, id_hash, now + remaining + EXPIRY_MARGIN_S)
        if self._is_marked(id_hash, now, offset):
            self.release(offset)
            return AcquireFailure.ALREADY_HELD
        return offset

    def is_held(self, request_id: str) -> bool:
        """Return whether any worker's mark holds for this request."""
        return self._is_marked(_hash_id(request_id), time.monotonic())

    def release(self, place: int) -> None:
        """Remove the mark at the offset that `acquire` returned."""
        SLOT_LAYOUT.pack_into(self._memory, place, 0, 0.0)

    def close(self) -> None:
        """Unmap the shared memory."""
        self._memory.close()

    def _find_free_slot(self, id_hash: int, now: float) -> int:
        memory = self._memory
        for probe in range(MAX_PROBES):
            offset = self._own_region + (id_hash + probe) % SLOTS_PER_REGION * SLOT_LAYOUT.size
            found, expires_at = SLOT_LAYOUT.unpack_from(memory, offset)
            if not found or expires_at < now:
                return offset
        return _NO_SLOT

    def _is_marked(self, id_hash: int, now: float, ignored_offset: int = _NO_SLOT) -> bool:
        memory = self._memory
        for region in range(0, self._region_count * REGION_BYTES, REGION_BYTES):
            for probe in range(MAX_PROBES):
                offset = region + (id_hash + probe) % SLOTS_PER_REGION * SLOT_LAYOUT.size
                found, expires_at = SLOT_LAYOUT.unpack_from(memory, offset)
                if found == id_hash and expires_at >= now and offset != ignored_offset:
                    return True
        return False


def shared_memory_size(region_count: int) -> int:
    """Return the size in bytes of the memory for so many regions."""
    return region_count * REGION_BYTES


def _hash_id(request_id: str) -> int:
    digest = hashlib.blake2b(request_id.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "little") | 1  # never 0, which says that a slot is free

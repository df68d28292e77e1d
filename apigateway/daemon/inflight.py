"""Register the writes in flight at all workers that share an address, in shared memory.

A client whose connection closes may repeat its request on a new connection, since a server may close a
connection between requests. If the worker has died, the new connection goes to another worker, which cannot
know whether the write may have been executed. Each worker therefore marks a write before it processes it, and
no worker accepts a marked write until the mark is released or the client's deadline has passed. A worker that
dies leaves its marks in place.

Each worker writes to its own region of the memory and reads all regions. A region is a hash table with linear
probing; a slot holds a hash of the request id (0 if the slot is free) and the mark's expiry time. Different
versions of the program share this memory during a hand-over, so its layout must not change.
"""

from __future__ import annotations

import hashlib
import mmap
import struct
import time

from apigateway.core.outcomes import AcquireFailure

# Maximum number of marks of one worker.
SLOTS_PER_REGION = 16_384
# A mark is stored in one of this many consecutive slots, starting at the slot given by its hash.
MAX_PROBES = 32
# Hash of the request id; expiry time of the mark, in seconds of `time.monotonic`.
SLOT_LAYOUT = struct.Struct("<Qd")
REGION_BYTES = SLOTS_PER_REGION * SLOT_LAYOUT.size
# A mark expires this long after its client's deadline, since clients may time out slightly late.
EXPIRY_MARGIN_S = 1.0

_HASH_BYTES = 8
_NO_SLOT = -1  # returned instead of an offset


class InFlightWriteTable:
    """One worker's access to the marks of all workers."""

    def __init__(self, descriptor: int, region_index: int, region_count: int) -> None:
        """Map the shared memory.

        Args:
            descriptor: File descriptor of `shared_memory_size(region_count)` bytes, initially zero.
            region_index: Index of this worker's region.
            region_count: Number of regions.
        """
        self._memory = mmap.mmap(descriptor, shared_memory_size(region_count))
        self._own_region_offset = region_index * REGION_BYTES
        self._region_count = region_count

    def acquire(self, request_id: str, remaining: float) -> int:
        """Mark a write as in flight.

        This takes no lock and never waits. Each worker checks the other regions again after writing its own
        mark, so if two workers mark the same write, neither accepts it. Both can accept it only within the
        nanoseconds in which one processor's store is not yet visible to the other.

        Args:
            request_id: Id of the request.
            remaining: Seconds until the client's deadline.

        Returns:
            The mark's offset, to pass to `release`, or an AcquireFailure.
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
        """Return whether any worker has an unexpired mark for this request."""
        return self._is_marked(_hash_id(request_id), time.monotonic())

    def release(self, offset: int) -> None:
        """Remove the mark at the offset that `acquire` returned."""
        SLOT_LAYOUT.pack_into(self._memory, offset, 0, 0.0)

    def close(self) -> None:
        """Unmap the shared memory."""
        self._memory.close()

    def _find_free_slot(self, id_hash: int, now: float) -> int:
        memory = self._memory
        for probe in range(MAX_PROBES):
            offset = self._own_region_offset + (id_hash + probe) % SLOTS_PER_REGION * SLOT_LAYOUT.size
            slot_hash, expires_at = SLOT_LAYOUT.unpack_from(memory, offset)
            if not slot_hash or expires_at < now:
                return offset
        return _NO_SLOT

    def _is_marked(self, id_hash: int, now: float, ignored_offset: int = _NO_SLOT) -> bool:
        memory = self._memory
        for region_offset in range(0, self._region_count * REGION_BYTES, REGION_BYTES):
            for probe in range(MAX_PROBES):
                offset = region_offset + (id_hash + probe) % SLOTS_PER_REGION * SLOT_LAYOUT.size
                slot_hash, expires_at = SLOT_LAYOUT.unpack_from(memory, offset)
                if slot_hash == id_hash and expires_at >= now and offset != ignored_offset:
                    return True
        return False


def shared_memory_size(region_count: int) -> int:
    """Return the size in bytes of the memory for `region_count` regions."""
    return region_count * REGION_BYTES


def _hash_id(request_id: str) -> int:
    digest = hashlib.blake2b(request_id.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "little") | 1  # never 0, which marks a free slot

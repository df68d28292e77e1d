"""The ids of recent writes that may have run, so that none runs again when its id comes again."""

from __future__ import annotations

from itertools import islice

# Time for which an id is kept, longer than a client waits before it sends a request again.
RETENTION_S = 60.0
# Ids that are kept at most. Only forwarded writes are, so the hosts' capacity bounds how fast they come.
MAX_IDS = 32_768
# Ids whose age is checked whenever one is added, so that they do not pile up.
IDS_CHECKED_PER_ADDITION = 4


class ExecutedRequests:
    """Ids with the times until which they are kept; the oldest are dropped first."""

    def __init__(self) -> None:
        self._expires_at: dict[str, float] = {}  # by request id, oldest first

    def __len__(self) -> int:
        return len(self._expires_at)

    def add(self, request_id: str, now: float) -> None:
        """Keep the id of a request that may have run, by the monotonic clock."""
        for oldest in list(islice(self._expires_at, IDS_CHECKED_PER_ADDITION)):
            if self._expires_at[oldest] > now and len(self._expires_at) < MAX_IDS:
                break
            del self._expires_at[oldest]
        self._expires_at.pop(request_id, None)
        self._expires_at[request_id] = now + RETENTION_S

    def contains(self, request_id: str, now: float) -> bool:
        """Return whether a request with this id may have run."""
        expires_at = self._expires_at.get(request_id)
        return expires_at is not None and expires_at > now

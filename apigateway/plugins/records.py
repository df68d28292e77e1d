"""Records of finished requests, one line of JSON each.

They are written by a separate thread, so that a slow disk never delays requests.
"""

from __future__ import annotations

import json
import logging
import os
import queue
import threading
from collections.abc import Iterator, Sequence
from typing import Any, TextIO

from apigateway.plugins.interfaces import RequestView
from apigateway.plugins.proposals import RequestEffects

ROTATED_SUFFIX = ".1"

_CLOSE_TIMEOUT_S = 5.0  # wait for the thread at close; a hanging disk must not block the shutdown

log = logging.getLogger(__name__)


def build_record(view: RequestView, effects: RequestEffects, endpoint_ids: Sequence[str]) -> dict[str, Any]:
    """Return the record of a finished request; `endpoint_ids` are the endpoints of its attempts."""
    return {
        "at": round(view.now, 6),
        "id": view.request_id,
        "customer": view.customer,
        "plan": view.plan,
        "class": view.service_class,
        "units": view.units,
        "left": round(view.remaining, 3),
        "write": view.is_write,
        "repeat": view.is_retry,
        "tags": effects.tags,
        "route": effects.route,
        "attempts": [
            {"host": endpoint_id, "tags": tags}
            for endpoint_id, tags in zip(endpoint_ids, effects.attempt_tags, strict=False)
        ],
        "outcome": view.outcome,
        "by": effects.rejected_by,
        "elapsed": round(view.elapsed, 6),
    }


def parse_record(record: dict[str, Any]) -> RequestView:
    """Return a recorded request as it was when accepted. Raises ValueError if the record is invalid."""
    try:
        return RequestView(
            request_id=str(record["id"]),
            customer=str(record["customer"]),
            plan=str(record["plan"]),
            service_class=str(record["class"]),
            units=float(record["units"]),
            remaining=float(record["left"]),
            now=float(record["at"]) - float(record.get("elapsed", 0.0)),
            is_write=bool(record.get("write")),
            is_retry=bool(record.get("repeat")),
        )
    except (KeyError, TypeError) as err:
        raise ValueError(f"invalid or missing field: {err}") from err


def read_records(path: str) -> Iterator[tuple[int, dict[str, Any]]]:
    """Yield the number and the record of each line; skip an incomplete last line. Raises ValueError."""
    with open(path, encoding="utf-8") as file:
        for line_number, line in enumerate(file, 1):
            if not line.endswith("\n"):
                return
            record = json.loads(line)
            if not isinstance(record, dict):
                raise ValueError(f"line {line_number} is not a record")
            yield line_number, record


class RequestRecorder:
    """Writes records to a file in a separate thread.

    Attributes:
        path: Path of the file.
        required_tag: Only requests with this tag are recorded; empty if all are.
        max_bytes: File size at which the file is renamed to FILE.1, replacing the previous FILE.1.
        accepted: Records that were put into the queue.
        written: Records that were written.
        dropped: Records that were dropped because the queue was full.
        failed: Records that could not be written.
        thread: The thread that writes.
    """

    def __init__(self, path: str, required_tag: str, max_bytes: float, queue_size: int) -> None:
        """Open the file and start the thread. Raises OSError if the file cannot be opened."""
        self.path = path
        self.required_tag = required_tag
        self.max_bytes = max_bytes
        self.accepted = 0
        self.written = 0
        self.dropped = 0
        self.failed = 0
        self._size = 0  # bytes
        self._file = self._open()
        self._max_queued = queue_size
        # None ends the thread. The queue itself has no limit, so that there is always room for it.
        self._queue: queue.SimpleQueue[dict[str, Any] | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name="records", daemon=True)
        self.thread.start()

    def _open(self) -> TextIO:
        file = open(self.path, "a", encoding="utf-8")  # noqa: SIM115 - stays open while the recorder is in use
        self._size = file.tell()
        return file

    def record(self, view: RequestView, effects: RequestEffects, endpoint_ids: Sequence[str]) -> None:
        """Queue the record of a finished request, if it is to be recorded; never blocks."""
        if self.required_tag and self.required_tag not in effects.tags:
            return
        if self._queue.qsize() >= self._max_queued:
            self.dropped += 1
            return
        self._queue.put(build_record(view, effects, list(endpoint_ids)))
        self.accepted += 1

    def _run(self) -> None:
        while (record := self._queue.get()) is not None:
            try:
                self._write(record)
            except (OSError, ValueError) as err:
                self.failed += 1
                if self.failed == 1:
                    log.error("records: cannot write %s: %s", self.path, err)
        self._file.close()

    def _write(self, record: dict[str, Any]) -> None:
        if self._file.closed:
            self._file = self._open()
        line = json.dumps(record, ensure_ascii=True) + "\n"
        if self._size and self._size + len(line) > self.max_bytes:
            self._rotate()
        self._file.write(line)
        if self._queue.empty():
            self._file.flush()
        self._size += len(line)
        self.written += 1

    def _rotate(self) -> None:
        self._file.close()
        os.replace(self.path, self.path + ROTATED_SUFFIX)
        self._file = self._open()

    def status(self) -> dict[str, Any]:
        """Return the counts of records for the status report."""
        return {
            "file": self.path,
            "only": self.required_tag,
            "written": self.written,
            "dropped": self.dropped,
            "failed": self.failed,
            "waiting": self.accepted - self.written - self.failed,
        }

    def finish(self) -> None:
        """Have the thread write the queued records and end, without waiting for it."""
        self._queue.put(None)

    def close(self) -> None:
        """Have the thread write the queued records and end, and wait for it for a limited time."""
        self.finish()
        self.thread.join(_CLOSE_TIMEOUT_S)

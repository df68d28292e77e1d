"""Records of requests that are over, a line of JSON each.

A thread writes them, so that the disk never holds up what serves.
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

_CLOSE_TIMEOUT = 5.0  # s that an end waits for the disk: one that hangs must not hold it up
_FULL_QUEUE_TIMEOUT = 1.0  # s of them for a place in the queue

log = logging.getLogger(__name__)


def build_record(view: RequestView, effects: RequestEffects, endpoint_ids: Sequence[str]) -> dict[str, Any]:
    """Return the record of a request that is over; `endpoint_ids` are those of its attempts."""
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
    """Return a recorded request as it was when it was taken. Raises ValueError where it is none."""
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
        raise ValueError(f"a record without {err}") from err


def read_records(path: str) -> Iterator[tuple[int, dict[str, Any]]]:
    """Yield line number and record of each line, but for a last one that was cut short. Raises ValueError."""
    with open(path, encoding="utf-8") as file:
        for number, line in enumerate(file, 1):
            if not line.endswith("\n"):
                return
            record = json.loads(line)
            if not isinstance(record, dict):
                raise ValueError(f"line {number} is no record")
            yield number, record


class RequestRecorder:
    """Writes records to a file from a thread of its own.

    Attributes:
        only_tag: Requests without this tag are not recorded; empty: all are.
        max_bytes: At this size the file becomes FILE.1, in place of the one before.
        accepted: Records that were put into the queue.
        dropped: Records for which the queue had no room.
    """

    def __init__(self, path: str, only_tag: str, max_bytes: float, queue_size: int) -> None:
        """Open the file and start the thread. Raises OSError where it cannot be written."""
        self.path = path
        self.only_tag = only_tag
        self.max_bytes = max_bytes
        self.accepted = 0
        self.written = 0
        self.dropped = 0
        self.failed = 0
        self._size = 0  # bytes
        self._file = self._open()
        self._queue: queue.Queue[dict[str, Any] | None] = queue.Queue(queue_size)  # None: the end
        self.thread = threading.Thread(target=self._run, name="records", daemon=True)
        self.thread.start()

    def _open(self) -> TextIO:
        file = open(self.path, "a", encoding="utf-8")  # noqa: SIM115 - open for as long as the recorder is
        self._size = file.tell()
        return file

    def record(self, view: RequestView, effects: RequestEffects, endpoint_ids: Sequence[str]) -> None:
        """Take a request that is over, if it is to be recorded; never waits."""
        if self.only_tag and self.only_tag not in effects.tags:
            return
        try:
            self._queue.put_nowait(build_record(view, effects, list(endpoint_ids)))
            self.accepted += 1
        except queue.Full:
            self.dropped += 1

    def _run(self) -> None:
        while (record := self._queue.get()) is not None:
            try:
                self._write(record)
            except (OSError, ValueError) as err:
                self.failed += 1
                if self.failed == 1:
                    log.error("records: %s: %s", self.path, err)
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
        """Return what was recorded so far, for operators."""
        return {
            "file": self.path,
            "only": self.only_tag,
            "written": self.written,
            "dropped": self.dropped,
            "failed": self.failed,
            "waiting": self.accepted - self.written - self.failed,
        }

    def finish(self) -> None:
        """Take no more and write what there is, without being waited for."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """Write what there is, and wait for it for a bounded time."""
        try:
            self._queue.put(None, timeout=_FULL_QUEUE_TIMEOUT)
        except queue.Full:
            return
        self.thread.join(_CLOSE_TIMEOUT)

"""Records of requests that are over, a line of JSON each, written by a thread: the disk never holds up what
serves."""

from __future__ import annotations

import json
import logging
import os
import queue
import threading
from collections.abc import Iterator
from typing import Any

from apigateway.plugins.proposals import Standing
from apigateway.plugins.terms import View

ROTATED = ".1"

log = logging.getLogger(__name__)


def record(view: View, standing: Standing, hosts: list[str]) -> dict[str, Any]:
    return {
        "at": round(view.now, 6),
        "id": view.id,
        "customer": view.customer,
        "plan": view.plan,
        "class": view.cls,
        "units": view.units,
        "left": round(view.left, 3),
        "write": view.write,
        "repeat": view.repeat,
        "tags": standing.tags,
        "route": standing.route,
        "attempts": [
            {"host": host, "tags": tags} for host, tags in zip(hosts, standing.attempts, strict=False)
        ],
        "outcome": view.outcome,
        "by": standing.by,
        "elapsed": round(view.elapsed, 6),
    }


def view_of(told: dict[str, Any]) -> View:
    """A recorded request as it was when it was taken. Raises ValueError where it is none."""
    try:
        return View(
            id=str(told["id"]),
            customer=str(told["customer"]),
            plan=str(told["plan"]),
            cls=str(told["class"]),
            units=float(told["units"]),
            left=float(told["left"]),
            now=float(told["at"]) - float(told.get("elapsed", 0.0)),
            write=bool(told.get("write")),
            repeat=bool(told.get("repeat")),
        )
    except (KeyError, TypeError) as err:
        raise ValueError(f"a record without {err}") from err


def read_records(path: str) -> Iterator[tuple[int, dict[str, Any]]]:
    """Number of the line and record. A last line that was cut short is left out. Raises ValueError."""
    with open(path, encoding="utf-8") as file:
        for number, line in enumerate(file, 1):
            if not line.endswith("\n"):
                return
            told = json.loads(line)
            if not isinstance(told, dict):
                raise ValueError(f"line {number} is no record")
            yield number, told


class Recorder:
    """`only`: a tag; records without it are not kept. At `most` bytes the file becomes FILE.1, in place of
    the one
    before. `waiting` records at most wait for the disk; what comes then is dropped and counted."""

    def __init__(self, path: str, only: str, most: float, waiting: int) -> None:
        self.path, self.only, self.most = path, only, most
        self.taken = self.written = self.dropped = self.failed = 0
        self.size = 0
        self.file = self.open()  # a path that cannot be written is told at the start
        self.queue: queue.Queue[dict[str, Any] | None] = queue.Queue(waiting)
        self.thread = threading.Thread(target=self.run, name="records", daemon=True)
        self.thread.start()

    def open(self) -> Any:
        file = open(self.path, "a", encoding="utf-8")
        self.size = file.tell()
        return file

    def note(self, view: View, standing: Standing, hosts: list[str]) -> None:
        if self.only and self.only not in standing.tags:
            return
        try:
            self.queue.put_nowait(record(view, standing, list(hosts)))
            self.taken += 1
        except queue.Full:
            self.dropped += 1

    def run(self) -> None:
        while (told := self.queue.get()) is not None:
            try:
                self.write(told)
            except (OSError, ValueError) as err:
                self.failed += 1
                if self.failed == 1:
                    log.error("records: %s: %s", self.path, err)
        self.file.close()

    def write(self, told: dict[str, Any]) -> None:
        if self.file.closed:
            self.file = self.open()
        line = json.dumps(told, ensure_ascii=True) + "\n"
        if self.size and self.size + len(line) > self.most:
            self.file.close()
            os.replace(self.path, self.path + ROTATED)
            self.file = self.open()
        self.file.write(line)
        if self.queue.empty():
            self.file.flush()
        self.size += len(line)
        self.written += 1

    def figures(self) -> dict[str, Any]:
        return {
            "file": self.path,
            "only": self.only,
            "written": self.written,
            "dropped": self.dropped,
            "failed": self.failed,
            "waiting": self.taken - self.written - self.failed,
        }

    def finish(self) -> None:
        """Takes no more and writes what it has, without being waited for."""
        try:
            self.queue.put_nowait(None)
        except queue.Full:
            self.dropped += 1

    def close(self) -> None:
        """All that was noted is written first. At most 5 s: a disk that hangs must not hold up an end."""
        try:
            self.queue.put(None, timeout=1.0)
        except queue.Full:
            return
        self.thread.join(5.0)

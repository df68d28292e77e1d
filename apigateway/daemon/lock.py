"""One instance a state folder, by a lock that a hand-over passes on."""

from __future__ import annotations

import contextlib
import fcntl
import os


class Locked(Exception):
    """Another instance holds this state folder."""


class Lock:
    """A lock on `FOLDER/lock` for as long as any process holds its descriptor. It goes with a process that
    dies."""

    def __init__(self, folder: str, descriptor: int | None = None) -> None:
        """`descriptor`: the lock as the predecessor holds it. Raises Locked, or OSError."""
        self.path = os.path.join(folder, "lock")
        if descriptor is None:
            os.makedirs(folder, mode=0o700, exist_ok=True)
            descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError as err:
                holder = os.read(descriptor, 32).decode("ascii", "replace").strip()
                os.close(descriptor)
                raise Locked(
                    f"{folder}: in use by process {holder or 'unknown'}; "
                    "`serve --take-over` takes over from it"
                ) from err
        self.descriptor = descriptor

    def sign(self) -> None:
        """Writes down who holds it: for people, nothing relies on it."""
        with contextlib.suppress(OSError):
            os.ftruncate(self.descriptor, 0)
            os.pwrite(self.descriptor, b"%d\n" % os.getpid(), 0)

    def close(self) -> None:
        os.close(self.descriptor)

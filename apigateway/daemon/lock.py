"""Allow only one instance per state folder, by a file lock that a hand-over passes on."""

from __future__ import annotations

import contextlib
import fcntl
import os

LOCK_FILE = "lock"
MAX_HOLDER_BYTES = 32  # read from the lock file, which holds a process id


class StateFolderLockedError(Exception):
    """Another instance holds this state folder."""


class StateFolderLock:
    """An exclusive lock on the file `lock` of a folder, held while any process has its descriptor open.

    The kernel releases it when the last such process exits, even after a crash.
    """

    def __init__(self, folder: str, descriptor: int | None = None) -> None:
        """Acquire the lock, or adopt the predecessor's.

        Args:
            folder: The state folder, created if it is missing.
            descriptor: The predecessor's lock, passed on by a hand-over; None to acquire the lock.

        Raises:
            StateFolderLockedError: Another instance holds the folder.
            OSError: The folder or the lock file cannot be created.
        """
        self.descriptor = _acquire(folder) if descriptor is None else descriptor

    def record_holder(self) -> None:
        """Write this process's id to the lock file, for information only."""
        with contextlib.suppress(OSError):
            os.ftruncate(self.descriptor, 0)
            os.pwrite(self.descriptor, b"%d\n" % os.getpid(), 0)

    def close(self) -> None:
        """Release this process's hold on the lock."""
        os.close(self.descriptor)


def _acquire(folder: str) -> int:
    os.makedirs(folder, mode=0o700, exist_ok=True)
    path = os.path.join(folder, LOCK_FILE)
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as err:
        holder = os.read(descriptor, MAX_HOLDER_BYTES).decode("ascii", "replace").strip()
        os.close(descriptor)
        raise StateFolderLockedError(
            f"{folder}: in use by process {holder or 'unknown'}; `serve --take-over` takes over from it"
        ) from err
    return descriptor

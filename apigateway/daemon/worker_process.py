"""One worker of a supervisor: its process, and the socket on which it sends its heartbeats."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
from collections.abc import Iterator

from apigateway.daemon.worker_lifecycle import RestartPolicy, WorkerLifecycle

MAX_NOTIFICATION_BYTES = 4096
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class WorkerProcess:
    """A worker process and its notify socket.

    Attributes:
        number: From 0.
        lifecycle: Decides when it is started or killed.
        notify_path: Path of its notify socket.
        notify_socket: Receives its heartbeats.
        process: None while it does not run.
        is_terminating: It was told to exit or killed, and is to be started again.
        is_handed_over: A successor's worker serves in its place.
    """

    def __init__(self, number: int, policy: RestartPolicy, now: float, folder: str) -> None:
        """Open the notify socket; no process runs yet.

        Args:
            number: From 0.
            policy: Of restarts.
            now: By the clock of `lifecycle`, in seconds.
            folder: For the notify socket.
        """
        self.number = number
        self.lifecycle = WorkerLifecycle(policy, now)
        self.notify_path = os.path.join(folder, f"worker-{number}")
        self.notify_socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        self.notify_socket.setblocking(False)
        self.notify_socket.bind(self.notify_path)
        self.process: asyncio.subprocess.Process | None = None
        self.is_terminating = False
        self.is_handed_over = False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to its process, if there is one."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def terminate(self, number: signal.Signals) -> None:
        """End it by a signal, to be started again."""
        self.is_terminating = True
        self.send_signal(number)

    def receive_notifications(self) -> Iterator[list[str]]:
        """Iterate over the notifications that have arrived, each as its lines."""
        with contextlib.suppress(BlockingIOError):
            while True:
                datagram = self.notify_socket.recv(MAX_NOTIFICATION_BYTES)
                yield datagram.decode("utf-8", "replace").split("\n")


def resident_bytes(pid: int) -> int:
    """Return the process's resident memory; 0 if it cannot be read, as of one that has just ended."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            resident_pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return resident_pages * PAGE_BYTES

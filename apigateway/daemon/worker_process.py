"""Manage one worker process of a supervisor, and the socket that receives its heartbeats."""

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
        number: Number of the worker, from 0.
        lifecycle: Decides when the process is started or killed.
        notify_path: Path of the notify socket.
        notify_socket: Socket that receives the heartbeats.
        process: The process; None while it is not running.
        is_terminating: Whether a signal was sent to end the process, which is restarted after its exit.
        is_handed_over: Whether a successor's worker serves in its place.
    """

    def __init__(self, number: int, policy: RestartPolicy, now: float, folder: str) -> None:
        """Open the notify socket; the process is not started.

        Args:
            number: Number of the worker, from 0.
            policy: Restart policy.
            now: Current time of the clock that `lifecycle` uses, in seconds.
            folder: Folder for the notify socket.
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

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, if there is one."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal_number)

    def terminate(self, signal_number: signal.Signals) -> None:
        """End the process by a signal; it is restarted after its exit."""
        self.is_terminating = True
        self.send_signal(signal_number)

    def receive_notifications(self) -> Iterator[list[str]]:
        """Yield the notifications that have arrived, each as a list of lines."""
        with contextlib.suppress(BlockingIOError):
            while True:
                datagram = self.notify_socket.recv(MAX_NOTIFICATION_BYTES)
                yield datagram.decode("utf-8", "replace").split("\n")


def resident_bytes(pid: int) -> int:
    """Return the process's resident memory; 0 if it cannot be read, as after the process has exited."""
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as file:
            resident_pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return resident_pages * PAGE_BYTES

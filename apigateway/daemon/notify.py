"""The service manager's notify protocol (systemd, sd_notify(3)): datagrams of `NAME=VALUE` lines.

Without NOTIFY_SOCKET all of it does nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import time
from collections.abc import Callable, Mapping

log = logging.getLogger(__name__)


class Notifier:
    def __init__(self, env: Mapping[str, str] = os.environ) -> None:
        path = env.get("NOTIFY_SOCKET", "")
        # Abstract names begin with a NUL on the wire, written `@`.
        self.address = "\0" + path[1:] if path.startswith("@") else path
        self.period = self.watchdog(env)  # s between keep-alives; 0: none are wanted
        self.socket: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.lost: Callable[[], object] | None = None  # called when nobody is there to be told
        if self.address:
            self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self.socket.setblocking(False)  # a manager that does not read must not hold up what is served

    @staticmethod
    def watchdog(env: Mapping[str, str]) -> float:
        """Half of WATCHDOG_USEC, as sd_watchdog_enabled(3) advises, if it is meant for this process."""
        told, pid = env.get("WATCHDOG_USEC", ""), env.get("WATCHDOG_PID", "")
        if not told.isdecimal() or (pid and pid != str(os.getpid())):
            return 0.0
        return int(told) / 1e6 / 2

    def tell(self, *lines: str) -> None:
        if self.socket is None:
            return
        try:
            self.socket.sendto("\n".join(lines).encode(), self.address)
        except OSError as err:
            log.warning("the service manager could not be told: %s", err)
            if self.lost is not None and isinstance(err, ConnectionError | FileNotFoundError):
                self.lost()

    def ready(self, status: str, main: bool = False) -> None:
        """`main`: this process has become the service's, in place of another."""
        pid = [f"MAINPID={os.getpid()}"] if main else []
        self.tell("READY=1", f"STATUS={status}", *pid)
        if self.period and self.timer is None:
            self.beat()

    def reloading(self) -> None:
        self.tell("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")

    def stopping(self) -> None:
        self.tell("STOPPING=1")

    def beat(self) -> None:
        """From the loop's own timers: a loop that hangs keeps nothing alive."""
        self.tell("WATCHDOG=1")
        self.timer = asyncio.get_running_loop().call_later(self.period, self.beat)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.socket is not None:
            with contextlib.suppress(OSError):
                self.socket.close()
            self.socket = None

"""Notify the service manager (systemd, sd_notify(3)) by datagrams of `NAME=VALUE` lines.

Nothing is sent if NOTIFY_SOCKET is not set in the environment.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import time
from collections.abc import Callable, Mapping

MICROSECONDS_PER_SECOND = 1e6

log = logging.getLogger(__name__)


class Notifier:
    """Sends this process's state and keep-alives to the service manager.

    Attributes:
        keepalive_interval_s: Seconds between keep-alives; 0 if the manager asks for none.
        on_manager_gone: Called when the service manager has closed its socket.
        socket: Socket to the service manager; None if there is no manager.
    """

    def __init__(self, env: Mapping[str, str] = os.environ) -> None:
        self.keepalive_interval_s = _keepalive_interval(env)
        self.on_manager_gone: Callable[[], object] | None = None
        self.socket: socket.socket | None = None
        self._address = _socket_address(env)
        self._keepalive_timer: asyncio.TimerHandle | None = None
        if self._address:
            self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self.socket.setblocking(False)  # a manager that does not read must not block the gateway

    def ready(self, status: str, is_main_process: bool = False) -> None:
        """Notify that this process serves, and start the keep-alives.

        Args:
            status: Status text that the service manager displays.
            is_main_process: Whether this process has replaced another as the service's main process.
        """
        main_process_line = [f"MAINPID={os.getpid()}"] if is_main_process else []
        self._send("READY=1", f"STATUS={status}", *main_process_line)
        if self.keepalive_interval_s and self._keepalive_timer is None:
            self._send_keepalive()

    def reloading(self) -> None:
        """Notify that the settings are being reloaded; call `ready` when done."""
        self._send("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")

    def stopping(self) -> None:
        """Notify that this process shuts down."""
        self._send("STOPPING=1")

    def close(self) -> None:
        """Stop the keep-alives and close the socket; nothing is sent afterwards."""
        if self._keepalive_timer is not None:
            self._keepalive_timer.cancel()
        if self.socket is not None:
            with contextlib.suppress(OSError):
                self.socket.close()
            self.socket = None

    def _send(self, *lines: str) -> None:
        if self.socket is None:
            return
        try:
            self.socket.sendto("\n".join(lines).encode(), self._address)
        except OSError as err:
            log.warning("could not notify the service manager: %s", err)
            if self.on_manager_gone is not None and isinstance(err, ConnectionError | FileNotFoundError):
                self.on_manager_gone()

    def _send_keepalive(self) -> None:
        """Send a keep-alive and schedule the next on the event loop, so that a hung loop sends none."""
        self._send("WATCHDOG=1")
        loop = asyncio.get_running_loop()
        self._keepalive_timer = loop.call_later(self.keepalive_interval_s, self._send_keepalive)


def _socket_address(env: Mapping[str, str]) -> str:
    """Return the manager's socket address; the `@` of an abstract name becomes NUL, as the kernel expects."""
    path = env.get("NOTIFY_SOCKET", "")
    return "\0" + path[1:] if path.startswith("@") else path


def _keepalive_interval(env: Mapping[str, str]) -> float:
    """Return half of WATCHDOG_USEC in seconds, as sd_watchdog_enabled(3) advises.

    Returns 0 if the variable is not set, or if WATCHDOG_PID names another process.
    """
    timeout_us = env.get("WATCHDOG_USEC", "")
    watched_pid = env.get("WATCHDOG_PID", "")
    if not timeout_us.isdecimal() or (watched_pid and watched_pid != str(os.getpid())):
        return 0.0
    return int(timeout_us) / MICROSECONDS_PER_SECOND / 2

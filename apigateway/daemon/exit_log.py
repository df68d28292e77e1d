"""Log why the process ends, and the errors of the event loop that nobody handled."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from typing import Any

BYTES_PER_MIB = 1024 * 1024

log = logging.getLogger(__name__)


class ExitLog:
    """Logs a last line that says why the process ends.

    Attributes:
        error_count: Errors of callbacks and tasks that nobody handled.
        largest_bytes: Returns the largest size of the process so far, in bytes.
    """

    def __init__(self) -> None:
        self.error_count = 0
        self.largest_bytes: Callable[[], int] = lambda: 0
        self._reason = "its own"

    def watch(self, loop: asyncio.AbstractEventLoop) -> None:
        """Count the errors that reach the event loop; they are logged with their traceback as before."""
        loop.set_exception_handler(self._on_error)

    def on_signal(self, number: signal.Signals) -> None:
        """Record the signal that asks the process to end; the first one counts."""
        if self._reason == "its own":
            self._reason = number.name

    def log_end(self, error: BaseException | None = None) -> None:
        """Log the last line.

        Args:
            error: The error that ends the process; None after a shutdown.
        """
        size_mib = self.largest_bytes() / BYTES_PER_MIB
        facts = f"largest size {size_mib:.0f} MiB, errors that nobody handled: {self.error_count}"
        if error is None:
            log.info("ended by %s; %s", self._reason, facts)
        else:
            log.critical("ended by an error, %s: %s; %s", type(error).__name__, error, facts)

    def _on_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.error_count += 1
        loop.default_exception_handler(context)

"""Records when the machine held up a gateway's process, as a process beside it has seen."""

from __future__ import annotations

import asyncio
import contextlib
import math
import sys
from pathlib import Path

from apigateway.emulators.timing import stall_probe
from apigateway.emulators.timing.loop_lag import Lag, LagLog

PROBE_FILE = Path(stall_probe.__file__)


class StallMonitor:
    """Runs the probe beside a process from `start` to `stop`.

    Attributes:
        machine: Times in which the machine ran nothing, not even the probe.
        process: Times in which the process was ready to run and had no CPU.
        busy: Times in which it used a CPU without a break.
        stuck: Times in which it had a CPU by the kernel's account, but used no time of it.
        blocked: Times in which it waited in the kernel where signals do not wake it.
        probe: The probe's process; None before `start`.
        ended_at: When the process ended, by `time.monotonic`; NaN before.
    """

    def __init__(self) -> None:
        self.machine = LagLog()
        self.process = LagLog()
        self.busy = LagLog()
        self.stuck = LagLog()
        self.blocked = LagLog()
        self.ended_at = math.nan
        self.probe: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    async def start(self, pid: int) -> None:
        """Start the probe of a process, and wait until it measures."""
        self.probe = await asyncio.create_subprocess_exec(
            sys.executable, "-I", "-S", str(PROBE_FILE), str(pid), stdout=asyncio.subprocess.PIPE
        )
        assert self.probe.stdout is not None
        await self.probe.stdout.readline()  # it has started
        self._reader = asyncio.get_running_loop().create_task(self._read(self.probe.stdout))

    @property
    def was_started(self) -> bool:
        """Whether the probe has run."""
        return self.probe is not None

    async def cancel(self) -> None:
        """End the probe, also if its process still runs."""
        if self.probe is not None and self.probe.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.probe.kill()
        await self.stop()

    async def stop(self) -> None:
        """Wait for the probe, which ends with the process, and for its last lines."""
        if self.probe is None or self._reader is None:
            return
        await self._reader
        await self.probe.wait()

    async def _read(self, stdout: asyncio.StreamReader) -> None:
        while line := await stdout.readline():
            name, *times = line.decode().split()
            start, end = float(times[0]), float(times[-1])
            if name == "ended":
                self.ended_at = end
            else:
                self._log_of(name).record(Lag(start, end - start))

    def _log_of(self, name: str) -> LagLog:
        """Return the log of the lines with this name."""
        logs = {
            "probe": self.machine,
            "process": self.process,
            "busy": self.busy,
            "stuck": self.stuck,
            "blocked": self.blocked,
        }
        return logs[name]

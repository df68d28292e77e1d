"""Print when the machine held up a process, and when it ended: a program, `stall_probe.py PID`.

Each line names what was seen, with the start and the end by `time.monotonic`; the last line is `ended` with a
time. `probe`: the probe was held up, which does nothing but sleep, so that it is held up only with the whole
machine. `process`: the process was ready to run and had no CPU. `busy`: it used a CPU without a break.
`stuck`: it had a CPU by the kernel's account, but used no time of it. `blocked`: it waited in the kernel
where signals do not wake it, for a disk for example. The probe imports nothing of the package, so that it
starts at once.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import NamedTuple

SLEEP_S = 0.005
MIN_PRINTED_STALL_S = 0.02
MIN_PRINTED_WAIT_S = 0.001
ZOMBIE = "Z"  # the state of a process that has ended and was not waited for
RUNNING = "R"
UNINTERRUPTIBLE = "D"
STUCK = "stuck"  # a condition
_NANOSECONDS = 1e-9


class Sample(NamedTuple):
    """What the kernel tells of the main thread of a process."""

    at: float  # by `time.monotonic`
    state: str
    used_s: float  # CPU time
    waited_s: float  # for a CPU


class Span:
    """A time in which a process was in the same condition at each sample."""

    def __init__(self) -> None:
        self._condition = ""
        self._started_at = 0.0

    def extend(self, condition: str, since: float, waited_s: float = 0.0) -> None:
        """Go on with a condition since a time; if it is another one, print the span if it was long enough.

        A process that waits for a CPU seems stuck until the kernel adds the wait, `waited_s`, at its end.
        """
        if condition == self._condition:
            return
        was_waiting = self._condition == STUCK and waited_s >= (since - self._started_at) / 2
        if self._condition and not was_waiting and since - self._started_at >= MIN_PRINTED_STALL_S:
            print(self._condition, self._started_at, since, flush=True)
        self._condition = condition
        self._started_at = since


def main(pid: int) -> None:
    """Print a line for each stall, wait and span that is long enough until the process has ended."""
    process = Path(f"/proc/{pid}")
    span = Span()
    previous = read_sample(process)
    now = time.monotonic()
    print("started", flush=True)
    while previous is not None:
        due_at = now + SLEEP_S  # from the last turn on, so that a stall outside the sleep counts too
        time.sleep(SLEEP_S)
        now = time.monotonic()
        if now - due_at >= MIN_PRINTED_STALL_S:
            print("probe", due_at, now, flush=True)
        sample = read_sample(process)
        if sample is not None:
            # The kernel adds a wait when it ends.
            wait_s = sample.waited_s - previous.waited_s
            if wait_s >= MIN_PRINTED_WAIT_S:
                print("process", now - wait_s, now, flush=True)
            span.extend(condition_between(previous, sample), previous.at, wait_s)
        else:
            span.extend("", previous.at)
        previous = sample
    print("ended", time.monotonic(), flush=True)


def condition_between(previous: Sample, sample: Sample) -> str:
    """Return the condition of a process between two samples, as it is printed; empty for none of these."""
    if sample.state == UNINTERRUPTIBLE:
        return "blocked"
    if sample.state != RUNNING:
        return ""
    elapsed_s = sample.at - previous.at
    if sample.used_s - previous.used_s >= elapsed_s / 2:
        return "busy"
    return "" if sample.waited_s - previous.waited_s >= elapsed_s / 2 else STUCK


def read_sample(process: Path) -> Sample | None:
    """Return a sample of the main thread of a process; None if it has ended."""
    try:
        state = (process / "stat").read_text().rpartition(") ")[2][0]
        used_ns, waited_ns = (int(word) for word in (process / "schedstat").read_text().split()[:2])
    except (OSError, IndexError, ValueError):
        return None
    if state == ZOMBIE:
        return None
    return Sample(time.monotonic(), state, used_ns * _NANOSECONDS, waited_ns * _NANOSECONDS)


if __name__ == "__main__":
    main(int(sys.argv[1]))

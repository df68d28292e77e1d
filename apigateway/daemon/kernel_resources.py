"""Acquire at the start what the process would otherwise wait for while it serves.

Both functions are for calls of the kernel that hold up the event loop for as long as a busy machine takes.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import resource


def reserve_descriptors(count: int) -> None:
    """Let the kernel allocate the process's descriptor table for `count` descriptors.

    The table grows by doubling, and in a process with several threads the kernel then waits until all CPUs
    have passed through the scheduler. It never shrinks.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        count = min(count, soft_limit)
    read_end, write_end = os.pipe()
    with contextlib.suppress(OSError):  # at the limit; the table is large enough then
        os.close(fcntl.fcntl(read_end, fcntl.F_DUPFD_CLOEXEC, count - 1))
    os.close(read_end)
    os.close(write_end)


async def start_executor_thread() -> None:
    """Start a thread of the running event loop's executor, which `asyncio.to_thread` then uses.

    To start a thread is to wait until it runs.
    """
    await asyncio.to_thread(_do_nothing)


def _do_nothing() -> None:
    pass

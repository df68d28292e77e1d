"""Samples of a process's memory and descriptors."""

from __future__ import annotations

import os
import resource
from pathlib import Path

PAGE_BYTES = resource.getpagesize()
BYTES_PER_MIB = 1024 * 1024


class ProcessMonitor:
    """The largest values of the samples taken of a process.

    Attributes:
        peak_mib: The most memory that was resident.
        peak_descriptors: The most open files and sockets.
    """

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")
        self.peak_mib = 0.0
        self.peak_descriptors = 0

    def sample(self) -> float:
        """Take a sample, and return the resident memory in MiB; 0 if the process has ended."""
        try:
            pages = int((self._folder / "statm").read_text().split()[1])
            descriptors = len(os.listdir(self._folder / "fd"))
        except (OSError, IndexError):
            return 0.0
        size_mib = pages * PAGE_BYTES / BYTES_PER_MIB
        self.peak_mib = max(self.peak_mib, size_mib)
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        return size_mib

"""Make it safe to start processes from a process that uses grpcio.

uvloop starts a process by fork() and runs Python code in the child before the other program. The child has
only the thread that forked, so nothing in it may reach grpcio: fork handlers crash, the destruction of a
channel can wait for a lock that another thread held, and the end of the last `grpc.aio` object joins its
polling thread in a busy loop. The parent waits for the child meanwhile.
"""

import functools
import gc
import os

FORK_SUPPORT_VARIABLE = "GRPC_ENABLE_FORK_SUPPORT"


class _CollectorState:
    """Whether the garbage collector was enabled when the process last forked."""

    was_enabled = False

    def disable(self) -> None:
        self.was_enabled = gc.isenabled()
        gc.disable()

    def restore(self) -> None:
        if self.was_enabled:
            gc.enable()


@functools.cache
def prepare_for_forks() -> None:
    """Keep grpcio's fork handlers and garbage collections out of the children that this process forks.

    It has to be called before grpcio is imported, which reads the variable then. The collector stays disabled
    in the children, which run another program at once.
    """
    os.environ.setdefault(FORK_SUPPORT_VARIABLE, "0")
    collector = _CollectorState()
    os.register_at_fork(before=collector.disable, after_in_parent=collector.restore)

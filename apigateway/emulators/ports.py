"""Free ports for programs that a test starts, also where tests run in parallel."""

from __future__ import annotations

import itertools
import os
import socket

# Below the ports that the system assigns for port 0 and to connections.
FIRST_PORT, LAST_PORT = 12_000, 32_000
PORT_STEP = 8  # between returned ports, since workers with addresses of their own listen at the ports above

_claims: list[socket.socket] = []
_next = itertools.count(os.getpid() * 37 * PORT_STEP, PORT_STEP)


def free_port() -> int:
    """Return a port on 127.0.0.1 that is free for TCP and that no other call returns while this process runs.

    The port's UDP side stays bound as a claim, which other processes see.

    Raises:
        OSError: If no port is left.
    """
    for _ in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + next(_next) % (LAST_PORT - FIRST_PORT)
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind(("127.0.0.1", port))
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(("127.0.0.1", port))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return port
    raise OSError("no free port left")

"""The client of the rate limit service, and what it asks of the process that it runs in."""

import subprocess
import sys

PROGRAM = "import os, apigateway.emulators.checks; print(os.environ['GRPC_ENABLE_FORK_SUPPORT'])"


# Guards against gateways that crashed before they ran, in the fork handlers of the starting process.
def test_fork_handlers_of_grpcio_are_off_in_a_process_that_sends_checks(monkeypatch):
    monkeypatch.delenv("GRPC_ENABLE_FORK_SUPPORT", raising=False)
    output = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    ).stdout
    assert output.strip() == "0"

"""System calls of the gateway that fail for a moment, by a library that is loaded into it.

The library is built with the machine's C compiler; without one these tests are skipped and say so.
"""

import errno
import shutil
import subprocess
from pathlib import Path

import pytest
from gateway_harness import run_on_uvloop

from apigateway.tools.hostile_soak.main import format_result
from apigateway.tools.hostile_soak.plan import plan_of
from apigateway.tools.hostile_soak.run import run_hostile_plan
from apigateway.tools.shutdown_soak.installation import Installation

SOURCE = Path(__file__).with_name("failing_calls.c")
COMPILER = shutil.which("cc")

pytestmark = pytest.mark.skipif(COMPILER is None, reason="no C compiler to build the library of faults")


@pytest.fixture
def fail_calls(tmp_path, monkeypatch):
    """Return a function that sets the faults of the next gateway."""
    library = tmp_path / "failing_calls.so"
    subprocess.run([COMPILER, "-shared", "-fPIC", "-O1", "-o", library, SOURCE, "-ldl"], check=True)
    make_environment = Installation.environment

    def set_faults(**faults):
        extra = {"LD_PRELOAD": str(library), **faults}
        monkeypatch.setattr(Installation, "environment", lambda self: make_environment(self) | extra)

    return set_faults


# Guards against connections that are closed unread because one accept call failed.
@pytest.mark.parametrize(
    "code",
    [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EINTR, errno.EPROTO],
    ids=lambda code: errno.errorcode[code],
)
@run_on_uvloop
async def test_accept_when_it_fails_for_a_moment_then_no_connection_is_closed(code, fail_calls):
    fail_calls(FAIL_ACCEPT=f"{code} 3")
    result = await run_hostile_plan(plan_of(1200, load_s=1.5))
    assert not result.breaches, format_result(result)


# Guards against a gateway that ends at its start because its listener could not be opened at once.
@pytest.mark.parametrize(
    "code", [errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL], ids=lambda code: errno.errorcode[code]
)
@run_on_uvloop
async def test_listener_when_it_cannot_be_opened_for_a_moment_then_the_gateway_starts(code, fail_calls):
    fail_calls(FAIL_LISTEN=f"{code} 2")
    result = await run_hostile_plan(plan_of(1201, load_s=1.0))
    assert not result.breaches, format_result(result)

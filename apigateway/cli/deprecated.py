"""The command's old name, `calicomast`: it says so and does the same. To be removed with the next release."""

import sys

from apigateway.cli.main import main as run_command


def main() -> int:
    """Run `api-gateway` with the same arguments, after a note on standard error."""
    print(
        "calicomast: this command is now called api-gateway; the old name goes with the next release",
        file=sys.stderr,
    )
    return run_command()

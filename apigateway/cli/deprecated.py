"""The command's old name, `calicomast`, which prints a warning. To be removed with the next release."""

import sys

from apigateway.cli.main import main as run_command


def main() -> int:
    """Print a deprecation warning to standard error and run `api-gateway` with the same arguments."""
    print(
        "calicomast: this command is now called api-gateway; the old name ends with the next release",
        file=sys.stderr,
    )
    return run_command()

"""Run the command line, `api-gateway`, as `python -m apigateway`."""

import sys

from apigateway.cli.main import main

if __name__ == "__main__":
    sys.exit(main())

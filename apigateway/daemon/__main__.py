"""Run one gateway as `python -m apigateway.daemon`, the command that the platform's deployment uses."""

import sys

from apigateway.daemon import pending_signals

if __name__ == "__main__":
    pending_signals.install_handlers()
    from apigateway.daemon.platform import main

    sys.exit(main())

"""`python -m apigateway.daemon`: one gateway of the platform, by the name that its deployment knows."""

import sys

from apigateway.daemon import pending_signals

if __name__ == "__main__":
    pending_signals.install_handlers()
    from apigateway.daemon.platform import main

    sys.exit(main())

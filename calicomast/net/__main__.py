"""`python -m calicomast.net`: one gateway of the platform, by the name that its deployment knows."""

import sys

from calicomast.daemon import early

if __name__ == "__main__":
    early.listen()
    from calicomast.daemon.platform import main

    sys.exit(main())

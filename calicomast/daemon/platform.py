"""One real api gateway: `python -m calicomast.net`, with RELAY_CONFIG naming its configuration."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys

import uvloop

from calicomast.daemon.config import Config, ConfigError, read_config
from calicomast.daemon.node import GatewayNode

MOST_LINES = 5  # of the log in a second


class Seldom(logging.Filter):
    """A few lines a second: CPU is rationed, and trouble that repeats must not take it for logging."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.left, self.dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.second:
            if self.dropped:
                record.msg = f"({self.dropped} lines left out) {record.msg}"
            self.second, self.left, self.dropped = int(record.created), MOST_LINES, 0
        self.left -= 1
        self.dropped += self.left < 0
        return self.left >= 0


async def serve(config: Config) -> None:
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    node = GatewayNode(config)
    loop.add_signal_handler(signal.SIGHUP, reload, node)
    port = await node.start()
    gc.freeze()  # what the start made stays for good: no collection need look at it again
    logging.getLogger(__name__).info("%s listens on %s:%d", config.name, config.listen[0], port)
    await told.wait()
    await node.stop()


def reload(node: GatewayNode) -> None:
    """SIGHUP: the file of the configuration was replaced. One that cannot be used leaves the old in force."""
    try:
        node.reload(read_config(again=True))
    except ConfigError as err:
        logging.getLogger(__name__).error("the old configuration stays: %s", err)


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(Seldom())
    try:
        uvloop.run(serve(read_config()))
    except (ConfigError, OSError) as err:
        print(f"calicomast: {err}", file=sys.stderr)
        return 2
    return 0


"""One gateway as the platform runs it: `python -m apigateway.daemon`, with RELAY_CONFIG."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys

import uvloop

from apigateway.daemon import pending_signals
from apigateway.daemon.config import Config, ConfigError, read_config
from apigateway.daemon.logs import start_log
from apigateway.daemon.node import GatewayNode


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
    if pending_signals.take_reload_request():
        reload(node)
    await told.wait()
    await node.stop()


def reload(node: GatewayNode) -> None:
    """SIGHUP: the file of the configuration was replaced. One that cannot be used leaves the old in force."""
    try:
        node.reload(read_config(again=True))
    except ConfigError as err:
        logging.getLogger(__name__).error("the old configuration stays: %s", err)


def main() -> int:
    start_log()
    try:
        uvloop.run(serve(read_config()))
    except (ConfigError, OSError) as err:
        print(f"api-gateway: {err}", file=sys.stderr)
        return 2
    return 0

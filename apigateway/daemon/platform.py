"""Run one gateway as the platform does: `python -m apigateway.daemon`, with RELAY_CONFIG."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys

import uvloop

from apigateway.daemon import pending_signals
from apigateway.daemon.config import Config, ConfigError, read_config
from apigateway.daemon.gateway_server import GatewayServer
from apigateway.daemon.logs import start_log

EXIT_OK = 0
EXIT_UNUSABLE_CONFIG = 2  # also where the address cannot be bound

log = logging.getLogger(__name__)


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    server = GatewayServer(config)
    loop.add_signal_handler(signal.SIGHUP, reload, server)
    port = await server.start()
    gc.freeze()  # what the start made stays for good: no collection need look at it again
    log.info("%s listens on %s:%d", config.name, config.listeners[0][0], port)
    if pending_signals.take_reload_request():
        reload(server)
    await stop_requested.wait()
    await server.stop()


def reload(server: GatewayServer) -> None:
    """Read the configuration again, after SIGHUP; one that cannot be used leaves the old in force."""
    try:
        server.reload(read_config(again=True))
    except ConfigError as err:
        log.error("the old configuration stays: %s", err)


def main() -> int:
    """Run the gateway and return the exit code."""
    start_log()
    try:
        uvloop.run(serve(read_config()))
    except (ConfigError, OSError) as err:
        print(f"api-gateway: {err}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIG
    return EXIT_OK

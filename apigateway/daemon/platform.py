"""Run one gateway on the platform, as `python -m apigateway.daemon` with RELAY_CONFIG set."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys

import uvloop

from apigateway.daemon import pending_signals
from apigateway.daemon.config import Config, ConfigError, read_config
from apigateway.daemon.exit_log import ExitLog
from apigateway.daemon.gateway_server import GatewayServer
from apigateway.daemon.logs import start_log

EXIT_OK = 0
EXIT_UNUSABLE_CONFIG = 2  # also if the address cannot be bound

log = logging.getLogger(__name__)


async def serve(config: Config, exit_log: ExitLog) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    exit_log.watch(loop)

    def stop(signal_number: signal.Signals) -> None:
        exit_log.on_signal(signal_number)
        stop_requested.set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop, signal_number)
    server = GatewayServer(config)
    exit_log.largest_bytes = lambda: server.memory_guard.pressure.largest_bytes
    loop.add_signal_handler(signal.SIGHUP, reload, server)
    port = await server.start()
    gc.freeze()  # startup objects are never freed, so garbage collections can skip them
    log.info("%s listens on %s:%d", config.name, config.listeners[0][0], port)
    if pending_signals.take_reload_request():
        reload(server)
    await stop_requested.wait()
    await server.stop()


def reload(server: GatewayServer) -> None:
    """Reload the configuration after SIGHUP; keep the old one if the new one is invalid."""
    try:
        server.reload(read_config(is_reload=True))
    except ConfigError as err:
        log.error("reload failed, the old configuration stays in force: %s", err)


def main() -> int:
    """Run the gateway and return the exit code."""
    start_log()
    exit_log = ExitLog()
    try:
        uvloop.run(serve(read_config(), exit_log))
    except (ConfigError, OSError) as err:
        print(f"api-gateway: {err}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIG
    except BaseException as error:
        exit_log.log_end(error)
        raise
    exit_log.log_end()
    return EXIT_OK

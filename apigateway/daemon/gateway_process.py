"""Run one gateway in this process, from its start to its shutdown.

Signals:

- SIGTERM and SIGINT set `_stop_requested`. `run` then calls `_shut_down`, which completes all accepted
  requests. Before the gateway serves, the process exits without this.
- SIGHUP calls `_on_sighup`, which reloads the settings (reload.py). A SIGHUP received before the gateway
  exists is handled once it serves; one received during a shutdown or a hand-over is ignored.

A hand-over (handover.py) ends like a shutdown, except that the successor already accepts on the listeners.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import socket
from dataclasses import replace
from typing import TYPE_CHECKING

from apigateway import messages
from apigateway.daemon import pending_signals
from apigateway.daemon.config import Config
from apigateway.daemon.configuration import Configuration
from apigateway.daemon.gateway_server import GatewayServer
from apigateway.daemon.handover import HandoverError, HandoverOffer
from apigateway.daemon.handover_predecessor import HandoverPredecessor
from apigateway.daemon.handover_successor import HandoverSuccessor
from apigateway.daemon.kernel_resources import start_executor_thread
from apigateway.daemon.lock import StateFolderLock
from apigateway.daemon.logs import LogRateLimiter
from apigateway.daemon.loop_lag_log import start_loop_lag_log
from apigateway.daemon.notify import Notifier
from apigateway.daemon.optional_services import build_plugins, build_ratelimit_config
from apigateway.daemon.reload import RunningGateway, SettingsReloader
from apigateway.daemon.settings import Settings
from apigateway.daemon.sockets import bind_listener, match_to_listeners, sockets_from_service_manager
from apigateway.daemon.status_answers import status_queries
from apigateway.daemon.takeover import create_successor, handover_path, inherit_resources
from apigateway.daemon.workers import WorkerAssignment, read_worker_assignment
from apigateway.membership.listing import listing_from_json, listing_to_json
from apigateway.upstream.address import Address, format_address

if TYPE_CHECKING:
    from apigateway.membership.eureka.registration import Registration

# How long a successor waits for its connection to the counter. An unreachable counter must not prevent a
# hand-over.
MAX_COUNTER_WAIT_S = 1.0

log = logging.getLogger(__name__)


class GatewayProcess:
    """One gateway process: start, signals, hand-over and shutdown."""

    def __init__(
        self,
        path: str,
        configuration: Configuration,
        log_rate_limiter: LogRateLimiter | None = None,
    ) -> None:
        """Store the configuration; `run` starts the gateway.

        Args:
            path: Path of the settings file.
            configuration: The configuration read from it.
            log_rate_limiter: Log rate limiter, whose limit a reload updates.
        """
        self._path = path
        # As read at the start; a reload updates `_gateway` instead.
        self._settings: Settings = configuration.settings
        self._config: Config = configuration.config
        self._log_rate_limiter = log_rate_limiter
        self._loop = asyncio.get_running_loop()
        self._stop_requested = asyncio.Event()
        self._is_handed_over = False
        self._notifier = Notifier()
        self._sockets: dict[Address, socket.socket] = {}  # listening sockets, kept open for a hand-over
        self._lock: StateFolderLock | None = None
        self._gateway: RunningGateway | None = None
        self._reloader: SettingsReloader | None = None
        self._registration: Registration | None = None
        self._predecessor: HandoverPredecessor | None = None  # set while this process can hand over
        self._successor: HandoverSuccessor | None = None  # set if this process takes over

    async def run(self, take_over: bool = False) -> None:
        """Serve until a signal arrives or a successor has taken over.

        Args:
            take_over: Whether to take over from the running gateway.

        Raises:
            OSError, StateFolderLockedError, HandoverError, InvalidConfigFileError: The gateway cannot start.
        """
        self._install_signal_handlers()
        start_loop_lag_log(self._loop)
        try:
            gateway = await self._start(take_over)
            if gateway is not None:  # None: a stop was requested before it served
                if pending_signals.take_reload_request():
                    self._on_sighup()
                await self._stop_requested.wait()
                await self._shut_down(gateway.server)
        finally:
            self._close()

    # Signals

    def _install_signal_handlers(self) -> None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self._stop_requested.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._on_sighup)

    def _on_sighup(self) -> None:
        is_handing_over = self._predecessor is not None and self._predecessor.is_in_progress
        if self._stop_requested.is_set() or is_handing_over:
            log.warning("reload ignored: a shutdown or a hand-over is in progress")
        elif self._reloader is not None:
            self._reloader.request()
        else:  # the settings may have been read already, but there is no gateway yet
            pending_signals.record_reload()

    # Start

    async def _start(self, take_over: bool) -> RunningGateway | None:
        """Return the gateway once it serves; None if a stop was requested before."""
        assignment = read_worker_assignment()
        # Without a supervisor, a worker would keep serving unsupervised and hold its port.
        if assignment is not None:
            self._notifier.on_manager_gone = self._stop_requested.set
        await self._acquire_sockets(assignment, take_over)
        gateway = await self._build_gateway(assignment)
        server = gateway.server
        server.prepare()
        self._start_registration()
        if not await self._wait_until_ready_to_serve(server, take_over):
            return None
        if self._successor is None:
            await server.listen(self._sockets)
        else:
            await self._serve_as_successor(server, self._successor)
        self._open_handover(gateway)
        if self._registration is not None:
            self._registration.mark_up()
        self._announce_ready(gateway, take_over)
        return gateway

    async def _acquire_sockets(self, assignment: WorkerAssignment | None, take_over: bool) -> None:
        """Acquire the lock and all listening sockets, which are passed in, inherited or bound."""
        listeners = self._config.listeners
        passed_in = assignment.adopt_listeners() if assignment is not None else sockets_from_service_manager()
        self._sockets = match_to_listeners(passed_in, listeners)
        if take_over:
            await self._inherit(listeners)
        elif self._settings.daemon.state:
            self._lock = StateFolderLock(self._settings.daemon.state)
        for address in listeners:
            if address not in self._sockets:
                self._sockets[address] = bind_listener(address)

    async def _inherit(self, listeners: tuple[Address, ...]) -> None:
        """Receive the predecessor's lock, listening sockets and endpoint list."""
        state_folder = self._settings.daemon.state
        self._successor = create_successor(state_folder)
        inherited = await inherit_resources(self._successor, state_folder, listeners)
        self._lock = inherited.lock
        if inherited.listing is not None:
            self._config = replace(self._config, known_endpoints=inherited.listing)
        for address in inherited.sockets.keys() & self._sockets.keys():
            self._sockets.pop(address).close()  # duplicates that a worker's supervisor passed in
        self._sockets |= inherited.sockets

    async def _build_gateway(self, assignment: WorkerAssignment | None) -> RunningGateway:
        """Build the gateway and its reloader; raise before anything is served if a part cannot be built."""
        settings = self._settings
        plugin_update = await build_plugins(self._path, settings, self._config.settings)
        ratelimit_config = await build_ratelimit_config(self._path, settings, self._config)
        server = GatewayServer(self._config, ratelimit_config)
        if assignment is not None:
            server.core.in_flight_registry = assignment.open_in_flight_table()
        if plugin_update is not None:
            from apigateway.daemon.plugins import start_plugins  # imported only if plug-ins are configured

            start_plugins(server, plugin_update, settings.hooks.tick)
        gateway = RunningGateway(
            self._path,
            settings,
            self._config,
            server,
            self._sockets,
            log_rate_limiter=self._log_rate_limiter,
        )
        self._gateway = gateway
        self._reloader = SettingsReloader(gateway, self._notifier)
        await start_executor_thread()  # for reloads
        return gateway

    def _start_registration(self) -> None:
        """Register with Eureka, with status STARTING, if the settings ask for it."""
        registration_settings = self._config.registration
        registry = self._config.registry
        if registration_settings is None or registry is None:
            return
        from apigateway.membership.eureka.registration import Registration  # imported only if used

        self._registration = Registration(
            registry.urls, registration_settings, registry.user, registry.password, registry.timeout
        )
        self._registration.start()

    async def _wait_until_ready_to_serve(self, server: GatewayServer, take_over: bool) -> bool:
        """Wait until endpoints are known; a successor also waits for the counter, up to a time limit.

        Returns:
            Whether the gateway can serve; False if a stop was requested meanwhile.

        Raises:
            HandoverError: This is a successor, and no endpoint list arrived in time.
        """
        if not server.core.is_ready:
            log.info("waiting for an endpoint list")
        timeout_s = self._settings.daemon.handover_wait if take_over else None
        stop_requested = self._loop.create_task(self._stop_requested.wait())
        endpoints_known = self._loop.create_task(server.endpoint_list.endpoints_known.wait())
        done, _ = await asyncio.wait(
            (stop_requested, endpoints_known), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        stop_requested.cancel()
        endpoints_known.cancel()
        if not done:
            raise HandoverError(f"no endpoint list received within {timeout_s:.0f} s")
        if self._successor is not None and server.counter is not None:
            await server.counter.wait_until_connected(MAX_COUNTER_WAIT_S)
        return not self._stop_requested.is_set()

    async def _serve_as_successor(self, server: GatewayServer, successor: HandoverSuccessor) -> None:
        """Accept connections in place of the predecessor.

        Raises:
            HandoverError: The predecessor has disconnected and accepts again, so this process must not serve.
        """
        predecessor_state = await successor.announce_ready()
        server.reset_decision_module(listing_from_json(predecessor_state, messages.ListMode.CACHED))
        await server.listen(self._sockets)
        try:
            await successor.announce_serving()
        except HandoverError:
            await server.stop(0.0)
            raise

    def _announce_ready(self, gateway: RunningGateway, take_over: bool) -> None:
        """Log, and notify the service manager, that the gateway serves."""
        gc.freeze()  # startup objects are never freed, so garbage collections can skip them
        name = gateway.config.name
        for frontend in gateway.server.frontends:
            log.info("%s listens on %s", name, format_address((frontend.address[0], frontend.port)))
        self._notifier.ready(f"serving as {name}", is_main_process=take_over)

    # Hand-over to a successor

    def _open_handover(self, gateway: RunningGateway) -> None:
        """Accept hand-overs and status queries, if there is a state folder."""
        if self._lock is None:
            return
        self._lock.record_holder()
        server = gateway.server
        predecessor = HandoverPredecessor(
            handover_path(gateway.settings.daemon.state),
            self._offer,
            server.pause,
            self._resume,
            self._on_handed_over,
            gateway.settings.daemon.handover_wait,
        )
        predecessor.status_queries = status_queries(gateway.server)
        self._predecessor = predecessor
        gateway.predecessor = predecessor
        predecessor.open()

    def _offer(self) -> HandoverOffer:
        assert self._lock is not None and self._gateway is not None
        listener_names = [format_address(address) for address in self._sockets]
        descriptors = [sock.fileno() for sock in self._sockets.values()]
        descriptors.append(self._lock.descriptor)
        return HandoverOffer(
            listener_names, descriptors, listing_to_json(self._gateway.server.endpoint_list.listing)
        )

    async def _resume(self) -> None:
        """Accept connections again after a failed hand-over, unless a stop was requested meanwhile."""
        if self._gateway is not None and not self._stop_requested.is_set():
            await self._gateway.server.resume(self._sockets)

    def _on_handed_over(self) -> None:
        self._is_handed_over = True
        self._stop_requested.set()

    # Shutdown

    async def _shut_down(self, server: GatewayServer) -> None:
        """Complete the accepted requests and close the gateway."""
        if not self._is_handed_over:
            self._notifier.stopping()
        if self._reloader is not None:
            await self._reloader.cancel()
        if self._is_handed_over:
            await self._stop_after_handover(server)
        else:
            await self._stop_without_successor(server)

    async def _stop_after_handover(self, server: GatewayServer) -> None:
        """Stop without lingering: the successor accepts already, and keeps the registration."""
        await server.stop(0.0)
        if self._registration is not None:
            await self._registration.close()

    async def _stop_without_successor(self, server: GatewayServer) -> None:
        if self._registration is not None:
            await self._registration.mark_down()
        await server.stop(close_sockets=self._close_sockets)
        if self._registration is not None:
            await self._registration.deregister()

    def _close_sockets(self) -> None:
        """Close the listening sockets; a successor that connects from now on binds its own."""
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()

    def _close(self) -> None:
        """Close the process's sockets and lock; also called after a failed start."""
        if self._predecessor is not None:
            self._predecessor.close()
        self._close_sockets()
        if self._lock is not None:
            self._lock.close()
        self._notifier.close()

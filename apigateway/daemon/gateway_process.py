"""Run one gateway in this process, from its start to its shutdown.

Signals:

- SIGTERM and SIGINT: `_stop_requested` is set; `run` goes on to `_shut_down`, which completes what was
  accepted. Before the gateway serves, the process just ends.
- SIGHUP: `_on_sighup` has the settings reloaded (reload.py). It is kept until there is a gateway, and
  ignored during a shutdown or a hand-over.

A hand-over (handover.py) ends as a shutdown does, but for the listeners, which the successor serves by then.
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
from apigateway.daemon.lock import StateFolderLock
from apigateway.daemon.logs import LogRateLimiter
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

# For a successor to wait until it is connected to the counter; one that is away stops no hand-over.
MAX_COUNTER_WAIT_S = 1.0

log = logging.getLogger(__name__)


class GatewayProcess:
    """The life of one gateway: start, signals, hand-over, shutdown."""

    def __init__(
        self,
        path: str,
        configuration: Configuration,
        log_rate_limiter: LogRateLimiter | None = None,
    ) -> None:
        """Store what `run` needs.

        Args:
            path: Of the settings file.
            configuration: As read from it.
            log_rate_limiter: Takes its limit from the settings at a reload.
        """
        self._path = path
        self._settings: Settings = configuration.settings  # at the start; then those of `_gateway`
        self._config: Config = configuration.config  # likewise
        self._log_rate_limiter = log_rate_limiter
        self._loop = asyncio.get_running_loop()
        self._stop_requested = asyncio.Event()
        self._is_handed_over = False
        self._notifier = Notifier()
        self._sockets: dict[Address, socket.socket] = {}  # listening, kept open for a hand-over
        self._lock: StateFolderLock | None = None
        self._gateway: RunningGateway | None = None
        self._reloader: SettingsReloader | None = None
        self._registration: Registration | None = None
        self._predecessor: HandoverPredecessor | None = None  # this process, as one that hands over
        self._successor: HandoverSuccessor | None = None  # this process, as one that takes over

    async def run(self, take_over: bool = False) -> None:
        """Serve until a signal or a successor ends it.

        Args:
            take_over: Take over from the gateway that runs.

        Raises:
            OSError, StateFolderLockedError, HandoverError, InvalidConfigFileError: It cannot start.
        """
        self._install_signal_handlers()
        try:
            gateway = await self._start(take_over)
            if gateway is not None:  # else it was told to stop before it served
                if pending_signals.take_reload_request():
                    self._on_sighup()
                await self._stop_requested.wait()
                await self._shut_down(gateway.server)
        finally:
            self._close()

    # Signals

    def _install_signal_handlers(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop_requested.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._on_sighup)

    def _on_sighup(self) -> None:
        is_handing_over = self._predecessor is not None and self._predecessor.is_in_progress
        if self._stop_requested.is_set() or is_handing_over:
            log.warning("no reload during a stop or a hand-over")
        elif self._reloader is not None:
            self._reloader.request()
        else:  # the settings were read before there is a gateway
            pending_signals.record_reload()

    # Start

    async def _start(self, take_over: bool) -> RunningGateway | None:
        """Return the gateway once it serves; None: it was told to stop before."""
        assignment = read_worker_assignment()
        if assignment is not None:  # without its supervisor a worker would serve on unseen, and hold its port
            self._notifier.on_manager_gone = self._stop_requested.set
        await self._acquire_sockets(assignment, take_over)
        gateway = await self._build_gateway(assignment)
        server = gateway.server
        server.prepare()
        self._start_registration()
        if not await self._wait_until_able(server, take_over):
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
        """Get the lock and all listening sockets: passed in, inherited or bound."""
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
        """Take over what the predecessor passes on, once it has passed on everything."""
        state = self._settings.daemon.state
        self._successor = create_successor(state)
        inherited = await inherit_resources(self._successor, state, listeners)
        self._lock = inherited.lock
        if inherited.known is not None:
            self._config = replace(self._config, known_endpoints=inherited.known)
        for address in inherited.sockets.keys() & self._sockets.keys():
            self._sockets.pop(address).close()  # a worker's, passed in by its supervisor too
        self._sockets |= inherited.sockets

    async def _build_gateway(self, assignment: WorkerAssignment | None) -> RunningGateway:
        """Build the gateway and its reloader; what cannot be built raises before anything is served."""
        settings = self._settings
        plugin_update = await build_plugins(self._path, settings, self._config.settings)
        ratelimit_config = await build_ratelimit_config(self._path, settings, self._config)
        server = GatewayServer(self._config, ratelimit_config)
        if assignment is not None:
            server.core.in_flight_registry = assignment.open_in_flight_table()
        if plugin_update is not None:
            from apigateway.daemon.plugins import start_plugins  # loaded only where there are any

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
        return gateway

    def _start_registration(self) -> None:
        """Register with Eureka, as starting, if the settings say so."""
        own = self._config.registration
        registry = self._config.registry
        if own is None or registry is None:
            return
        from apigateway.membership.eureka.registration import Registration  # loaded only where it is used

        self._registration = Registration(
            registry.urls, own, registry.user, registry.password, registry.timeout
        )
        self._registration.start()

    async def _wait_until_able(self, server: GatewayServer, take_over: bool) -> bool:
        """Wait until endpoints are known, and as a successor for the counter, as long as that may take.

        Returns:
            Whether it can serve; False: it was told to stop meanwhile.

        Raises:
            HandoverError: A successor got no endpoint list in time.
        """
        if not server.core.is_ready:
            log.info("waiting for a list of hosts")
        timeout_s = self._settings.daemon.handover_wait if take_over else None
        stop_requested = self._loop.create_task(self._stop_requested.wait())
        endpoints_known = self._loop.create_task(server.endpoint_list.is_known.wait())
        done, _ = await asyncio.wait(
            (stop_requested, endpoints_known), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        stop_requested.cancel()
        endpoints_known.cancel()
        if not done:
            raise HandoverError(f"no list of hosts within {timeout_s:.0f} s")
        if self._successor is not None and server.counter is not None:
            await server.counter.wait_until_connected(MAX_COUNTER_WAIT_S)
        return not self._stop_requested.is_set()

    async def _serve_as_successor(self, server: GatewayServer, successor: HandoverSuccessor) -> None:
        """Accept connections in place of the predecessor.

        Raises:
            HandoverError: The predecessor has disconnected, and accepts again: there must not be two.
        """
        known = await successor.announce_ready()
        server.reset_decision_module(listing_from_json(known, messages.ListMode.CACHED))
        await server.listen(self._sockets)
        try:
            await successor.announce_serving()
        except HandoverError:
            await server.stop(0.0)
            raise

    def _announce_ready(self, gateway: RunningGateway, take_over: bool) -> None:
        """Tell the log and the service manager that it serves."""
        gc.freeze()  # what the start made stays for good: no collection need look at it again
        name = gateway.config.name
        for frontend in gateway.server.frontends:
            log.info("%s listens on %s", name, format_address((frontend.address[0], frontend.port)))
        self._notifier.ready(f"serving as {name}", main=take_over)

    # Hand-over, as the predecessor

    def _open_handover(self, gateway: RunningGateway) -> None:
        """Answer successors and status queries, if there is a state folder."""
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
        names = [format_address(address) for address in self._sockets]
        descriptors = [sock.fileno() for sock in self._sockets.values()]
        descriptors.append(self._lock.descriptor)
        return HandoverOffer(names, descriptors, listing_to_json(self._gateway.server.endpoint_list.listing))

    async def _resume(self) -> None:
        """Accept again, after a hand-over that failed; not if it was told to stop meanwhile."""
        if self._gateway is not None and not self._stop_requested.is_set():
            await self._gateway.server.resume(self._sockets)

    def _on_handed_over(self) -> None:
        self._is_handed_over = True
        self._stop_requested.set()

    # Shutdown

    async def _shut_down(self, server: GatewayServer) -> None:
        """Complete what was accepted, and close the gateway."""
        if not self._is_handed_over:
            self._notifier.stopping()
        if self._reloader is not None:
            await self._reloader.cancel()
        if self._is_handed_over:
            await self._stop_after_handover(server)
        else:
            await self._stop_for_good(server)

    async def _stop_after_handover(self, server: GatewayServer) -> None:
        """Stop without lingering: the successor accepts, and holds the registration under the same id."""
        await server.stop(0.0)
        if self._registration is not None:
            await self._registration.close()

    async def _stop_for_good(self, server: GatewayServer) -> None:
        if self._registration is not None:
            await self._registration.mark_down()
        await server.stop()
        if self._registration is not None:
            await self._registration.deregister()

    def _close(self) -> None:
        """Close what the process holds, also after a start that failed."""
        if self._predecessor is not None:
            self._predecessor.close()
        for sock in self._sockets.values():
            sock.close()
        if self._lock is not None:
            self._lock.close()
        self._notifier.close()

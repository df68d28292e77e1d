"""Assemble one gateway from its configuration, and start, reconfigure and stop it.

A gateway consists of the core, frontends, connections to endpoints, the quota counter's client, and the
endpoint list with its source. Rate limit services and plug-ins are added if the settings configure them.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable, Collection, Coroutine, Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from apigateway import messages
from apigateway.core.clock import MonotonicUnixClock
from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.counter.client import QuotaCounterClient
from apigateway.daemon.config import Config
from apigateway.daemon.endpoint_list import EndpointListState
from apigateway.daemon.endpoint_source import EndpointSourceFactory, reconciler_driver_of
from apigateway.daemon.graceful_shutdown import complete_requests, retire_frontend
from apigateway.daemon.kernel_resources import reserve_descriptors
from apigateway.daemon.memory_guard import MemoryGuard
from apigateway.daemon.memory_limits import max_client_bytes
from apigateway.daemon.process_size import ProcessSize, find_trim
from apigateway.frontends.resp.frontend import RespFrontend
from apigateway.membership.listing import EndpointListing
from apigateway.policy import Gateway
from apigateway.upstream.address import Address
from apigateway.upstream.upstream_connections import UpstreamConnections

if TYPE_CHECKING:
    from apigateway.core.admission import AdmissionController
    from apigateway.daemon.interfaces import EndpointSource, Frontend
    from apigateway.daemon.ratelimit import RateLimitServices
    from apigateway.daemon.ratelimit_config import RateLimitConfig
    from apigateway.plugins.manager import PluginManager
    from apigateway.policy.overload_gate import OverloadGate

# File descriptors reserved for other uses than connections of clients and to endpoints.
RESERVED_DESCRIPTORS = 96

log = logging.getLogger(__name__)


class GatewayServer:
    """One gateway: `start` begins serving, `stop` ends it.

    A process that takes over from another calls `prepare`, `reset_decision_module` and `listen` instead of
    `start`. One that hands over calls `pause`, and `resume` if the successor failed.

    Attributes:
        config: The current configuration.
        clock: Unix time in seconds that never steps; used for the decision module's start and all its events.
        core: Dispatches requests, and holds those in flight.
        upstream: Connections to the endpoints.
        counter: Client of the quota counter; None if none is configured.
        endpoint_list: The endpoint list as last received.
        endpoint_source: The source of the endpoint list.
        frontends: One frontend for each listener.
        memory_guard: Keeps the process within its memory limit.
        ratelimit: Rate limit services; None if none are configured.
        plugins: Plug-ins that are called for requests; None if none are configured.
    """

    def __init__(self, config: Config, ratelimit_config: RateLimitConfig | None = None) -> None:
        """Build all parts without starting them.

        Args:
            config: The configuration.
            ratelimit_config: Configuration of the rate limit services; None to load none of their code.
        """
        self.config = config
        reserve_descriptors(config.max_descriptors)
        self.loop = asyncio.get_running_loop()
        self.clock = MonotonicUnixClock()
        # Half of the descriptors are for client connections, the other half for connections to endpoints.
        self._max_client_connections = (
            max(config.max_descriptors - RESERVED_DESCRIPTORS, config.max_descriptors // 2) // 2
        )
        # Bounded because the process is killed when it exceeds its memory limit.
        self._max_client_bytes = max_client_bytes(config.memory_bytes)
        self.upstream = UpstreamConnections(
            config.connect_timeout, config.idle_timeout, self._max_client_connections
        )
        self.counter = _create_counter(config)
        self.core = self._create_core()
        self.upstream.count_memory = self.core.memory_budget.adjust_shared
        self.memory_guard = MemoryGuard(
            config.memory_bytes,
            self.core.memory_budget,
            lambda: self.frontends,
            self.core.in_flight_table.set_rejecting,
            ProcessSize(),
            find_trim(),
        )
        self.endpoint_list = EndpointListState(self.core, config.known_endpoints)
        self.frontends: list[Frontend] = []
        self._overload_gate: OverloadGate | None = None
        self.apply_overload_settings(config)
        self.ratelimit: RateLimitServices | None = None
        if ratelimit_config is not None:
            self.ratelimit = self.create_ratelimit_services(ratelimit_config)
            self.ratelimit.apply(ratelimit_config, self.frontends)
        self.frontends = [
            self.create_frontend(address, config, self.ratelimit, ratelimit_config)
            for address in config.listeners
        ]
        self._source_factory = EndpointSourceFactory(self.core, self.endpoint_list)
        self.endpoint_source: EndpointSource = self._source_factory.create(config)
        self.core.endpoint_source = self.endpoint_source
        self.plugins: PluginManager | None = None
        self._closing_tasks: set[asyncio.Task[None]] = set()  # closing what a reload has replaced

    # Assembly

    def _create_core(self) -> RequestDispatcher:
        return RequestDispatcher(
            self.config.settings,
            self._create_decision_module(),
            self.upstream,
            self.counter,
            self.loop,
            self.config.max_in_flight,
            self._max_client_bytes,
            self.clock,
        )

    def _create_decision_module(self) -> Gateway:
        return Gateway(self.config.settings, self.config.seed, self.clock())

    def create_ratelimit_services(self, ratelimit_config: RateLimitConfig) -> RateLimitServices:
        """Return rate limit services that are not used yet."""
        from apigateway.daemon.ratelimit import RateLimitServices  # imported only if used

        return RateLimitServices(self.core, self.config, ratelimit_config)

    def create_frontend(
        self,
        address: Address,
        config: Config,
        ratelimit: RateLimitServices | None = None,
        ratelimit_config: RateLimitConfig | None = None,
    ) -> Frontend:
        """Return a frontend for a listener's address; it does not listen yet.

        Args:
            address: Address of the listener.
            config: Configuration that contains the listener; it need not be in use yet.
            ratelimit: Rate limit services, which serve the gRPC listeners.
            ratelimit_config: Their configuration; it need not be in use yet.
        """
        if address in config.grpc_listeners:
            assert ratelimit is not None and ratelimit_config is not None
            return ratelimit.create_frontend(
                address, self._max_client_connections, self._max_client_bytes, ratelimit_config
            )
        frontend = RespFrontend(
            self.core,
            self._max_client_connections,
            self._max_client_bytes,
            address,
            config.gateways_at_address,
        )
        frontend.set_tokens(ratelimit.tokens if ratelimit is not None else None)
        return frontend

    # Start

    async def start(self) -> int:
        """Start serving, and return the port of the first listener."""
        self.prepare()
        return await self.listen()

    def prepare(self) -> None:
        """Start everything except the listeners, so that endpoints are known before the first request."""
        self.endpoint_list.apply(self.config.known_endpoints)
        if self.config.evacuated_zones:
            self.endpoint_list.evacuate_zones(self.config.evacuated_zones)
        self.upstream.start_idle_checks()
        self.memory_guard.start()
        self.core.loop_lag.start()
        if self.counter:
            self.counter.start()
        if self.core.settings.discovery_mode == messages.DiscoveryMode.PUSH:
            self.endpoint_source.watch(True)

    async def listen(self, sockets: Mapping[Address, socket.socket] | None = None) -> int:
        """Start accepting connections; frontends that a reload has opened before listen already.

        Args:
            sockets: Listening sockets by address, used instead of new ones. Each frontend gets a duplicate,
                and the originals stay open.

        Returns:
            The first frontend's port.
        """
        self._distribute_limits()
        for frontend in self.frontends:
            if frontend.is_listening:
                continue
            sock = sockets.get(frontend.address) if sockets else None
            await frontend.listen(sock.dup() if sock is not None else None)
        return self.frontends[0].port

    def _distribute_limits(self) -> None:
        """Divide the limits on connections and on bytes of incomplete commands evenly among the frontends."""
        count = len(self.frontends)
        for frontend in self.frontends:
            frontend.set_limits(self._max_client_connections // count, self._max_client_bytes // count)

    # Reconfiguration: these steps neither wait nor fail

    def reload(self, config: Config) -> None:
        """Switch to the discovery and counter addresses of a new platform configuration.

        The rest of it takes effect at the next start.
        """
        if self.core.is_draining:
            return
        old = self.config
        self.config = config
        if _platform_settings_of(old) != _platform_settings_of(config):
            log.warning("only new discovery and counter addresses take effect before the next start")
        self.change_counter_address(config.counter)
        self.switch_endpoint_source(self.create_endpoint_source(config))
        if config.discovery:
            log.info("new configuration: discovery %s:%d", *config.discovery)

    def change_counter_address(self, address: Address | None) -> None:
        """Connect to the counter at another address, if there is one now and in the new configuration."""
        if self.counter and address:
            self.counter.change_address(address)

    def create_endpoint_source(self, config: Config) -> EndpointSource:
        """Return a source to pass to `switch_endpoint_source`."""
        return self._source_factory.create(config, self.endpoint_source)

    def switch_endpoint_source(self, source: EndpointSource) -> None:
        """Use another source; the last endpoint list stays in use until the new source reports one."""
        replaced = self.endpoint_source
        self.endpoint_source = source
        self.core.endpoint_source = source
        # A new watch starts with the complete list, as versions differ between services.
        if replaced.watching:
            source.watch(True)
        # Stop the old watch immediately, so that data that arrives in this loop iteration is not read.
        replaced.watch(False)
        self._close_in_background(replaced.close())

    def apply_overload_settings(self, config: Config) -> None:
        """Turn load shedding on or off as configured; on the platform it is always off."""
        self.core.admission = self._admission_controller(config)
        for frontend in self.frontends:
            frontend.update_admission()

    def _admission_controller(self, config: Config) -> AdmissionController | None:
        if config.overload is None:
            return None
        from apigateway.core.admission import AdmissionController
        from apigateway.policy.overload_gate import OverloadGate

        limits = config.settings.limits
        max_retry_after = limits.max_retry_after if limits.can_send_retry_after else 0.0
        gate_settings = (*config.overload, max_retry_after)
        if self._overload_gate is None:
            self._overload_gate = OverloadGate(*gate_settings, config.seed)
        self._overload_gate.configure(*gate_settings)
        return self.core.admission or AdmissionController(self._overload_gate, self.loop)

    def replace_frontends(self, added: Sequence[Frontend], removed: Collection[Address]) -> list[Frontend]:
        """Add and remove frontends, and return the removed ones, which the caller has to retire."""
        retired = [frontend for frontend in self.frontends if frontend.address in removed]
        kept = [frontend for frontend in self.frontends if frontend.address not in removed]
        self.frontends = [*kept, *added]
        self._distribute_limits()
        return retired

    def retire_frontend(self, frontend: Frontend) -> None:
        """Complete a frontend's accepted requests in the background, then close it."""
        has_waiting_connections = frontend.has_pending_connections
        # Close the listener immediately: it must be closed by the time the reload is reported.
        if not has_waiting_connections:
            frontend.start_draining()
        self._close_in_background(
            retire_frontend(self.core, frontend, has_waiting_connections, self.config.shutdown_timeout)
        )

    def set_plugins(self, plugins: PluginManager | None) -> None:
        """Replace the plug-ins that are called for requests; None to call none."""
        replaced = self.plugins
        self.plugins = plugins
        self.core.plugins = plugins
        if replaced is not None and replaced is not plugins:
            replaced.retire()

    def _close_in_background(self, coroutine: Coroutine[object, object, None]) -> None:
        task = self.loop.create_task(coroutine)
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)

    # Hand-over

    async def pause(self) -> None:
        """Stop accepting connections; the successor, which holds the same listening sockets, accepts them.

        The ceilings' token buckets are no longer refilled, since the successor's are refilled from now on.
        """
        for frontend in self.frontends:
            frontend.stop_accepting()
        self.core.dispatch(messages.DrainGateway(True))

    async def resume(self, sockets: Mapping[Address, socket.socket]) -> None:
        """Accept connections again after the successor failed."""
        self.core.dispatch(messages.DrainGateway(False))
        await self.listen(sockets)

    def reset_decision_module(self, predecessor_listing: EndpointListing) -> None:
        """Replace the decision module by a new one that has the current endpoint list.

        An endpoint that either process knows to be draining counts as draining, since the drain was requested
        of the gateway as a whole. The endpoint list is fetched again, so that a drain that has ended is
        noticed.
        """
        self.core.module = self._create_decision_module()
        self.core.dispatch(replace(self.endpoint_list.listing.endpoint_list, mode=messages.ListMode.CACHED))
        draining = self.endpoint_list.endpoints_draining_only_in(predecessor_listing)
        if not draining:
            return
        driver = reconciler_driver_of(self.endpoint_source)
        # The reconciler must know of the change, or its later reports would not count as changes.
        if driver is not None:
            driver.mark_draining(endpoint.id for endpoint in draining)
        else:
            version = self.endpoint_list.listing.endpoint_list.version
            self.endpoint_list.apply(
                EndpointListing(messages.EndpointList(messages.ListMode.DELTA, version, draining), {})
            )
        self.endpoint_source.fetch()

    # Shutdown

    async def stop(
        self, linger_s: float | None = None, close_sockets: Callable[[], None] | None = None
    ) -> None:
        """Keep accepting connections for `linger_s`, complete the accepted requests, and close everything.

        Args:
            linger_s: How long connections are still accepted; None to use the configured time.
            close_sockets: Closes other descriptors of the frontends' listeners; called when these are closed.
        """
        started_at = time.monotonic()
        self.core.is_draining = True
        for frontend in self.frontends:
            frontend.announce_shutdown()
        await asyncio.sleep(self.config.linger if linger_s is None else linger_s)
        deadline = started_at + self.config.shutdown_timeout
        self.memory_guard.stop()  # connections that wait to be accepted are owed their answers
        await complete_requests(
            self.core, self.frontends, self.config.grpc_listeners, deadline, close_sockets
        )
        await self._close()

    async def _close(self) -> None:
        self.memory_guard.stop()
        self.upstream.close()
        if self.counter:
            self.counter.close()
        await self.endpoint_source.close()
        if self.plugins is not None:
            self.plugins.close()
        if self.ratelimit is not None:
            self.ratelimit.close()
        for task in list(self._closing_tasks):
            task.cancel()
        await asyncio.gather(*self._closing_tasks, return_exceptions=True)


def _platform_settings_of(config: Config) -> tuple[object, ...]:
    """Return the settings whose change a reload reports, since they take effect only at a start."""
    return (config.settings, config.listeners[0], config.max_descriptors)


def _create_counter(config: Config) -> QuotaCounterClient | None:
    if not config.counter:
        return None
    return QuotaCounterClient(config.counter, config.settings.counter_timeout)

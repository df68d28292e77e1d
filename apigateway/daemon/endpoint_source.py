"""Create the source of the endpoint list that is configured: a file, a registry or a discovery service."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from apigateway import messages
from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.daemon.config import Config
from apigateway.daemon.endpoint_list import EndpointListState
from apigateway.membership.discovery import DiscoveryClient
from apigateway.membership.watch_schedule import WatchSchedule
from apigateway.upstream.address import Address

if TYPE_CHECKING:
    from apigateway.daemon.interfaces import EndpointSource
    from apigateway.membership.eureka.source import EurekaSource, RegistrySettings
    from apigateway.membership.reconciler import EndpointReconciler, ReconcilerSettings
    from apigateway.membership.reconciler_driver import ReconcilerDriver


class EndpointSourceFactory:
    """Creates sources that report to one endpoint list; a new source keeps the previous one's state."""

    def __init__(self, core: RequestDispatcher, endpoint_list: EndpointListState) -> None:
        self._core = core
        self._endpoint_list = endpoint_list

    def create(self, config: Config, previous: EndpointSource | None = None) -> EndpointSource:
        """Return the source for a configuration; it is not started.

        Args:
            config: Configuration that names the source.
            previous: The source that is replaced; None at startup.
        """
        if config.endpoint_file is not None:
            from apigateway.membership.file import EndpointFileSource  # not imported on the platform

            return EndpointFileSource(
                config.endpoint_file, self._endpoint_list.apply, self._core.on_endpoint_list_failed
            )
        reconciler = reconciler_of(previous)  # reused, with its pending changes and the age of its list
        if config.discovery is None:
            assert config.registry is not None
            return self._create_eureka_source(config, config.registry, reconciler)
        version = config.known_endpoints.endpoint_list.version if previous is None else previous.version
        schedule = _watch_schedule(config)
        if config.reconciler is not None:
            driver = self._create_reconciler_driver(config.reconciler, reconciler)
            return ReconciledDiscovery(
                config.discovery, version, driver, self._core.on_endpoint_list_failed, schedule
            )
        return DiscoveryClient(
            config.discovery,
            version,
            self._endpoint_list.apply,
            self._core.on_endpoint_list_failed,
            schedule,
            # After a reload this is another service, which numbers its versions independently.
            is_list_known=previous is None and bool(config.known_endpoints.endpoint_list.endpoints),
        )

    def _create_eureka_source(
        self, config: Config, registry: RegistrySettings, reconciler: EndpointReconciler | None
    ) -> EurekaSource:
        from apigateway.membership.eureka.source import (  # not imported on the platform
            EurekaSource,
            resolve_host_name,
        )

        own_addresses = set(config.listeners)
        if config.registration is not None:
            own_addresses.add((config.registration.ip, config.registration.port))
        return EurekaSource(
            registry,
            self._endpoint_list.listing,
            self._endpoint_list.apply,
            self._core.on_endpoint_list_failed,
            own_addresses,
            resolve_host_name if registry.mapping.address_source == "name" else None,
            self._core.clock,
            reconciler=reconciler,
        )

    def _create_reconciler_driver(
        self, settings: ReconcilerSettings, reconciler: EndpointReconciler | None
    ) -> ReconcilerDriver:
        from apigateway.membership.reconciler_driver import ReconcilerDriver  # not imported on the platform

        return ReconcilerDriver(
            settings, self._endpoint_list.listing, self._endpoint_list.apply, self._core.clock, reconciler
        )


class ReconciledDiscovery(DiscoveryClient):
    """A discovery client whose lists pass a reconciler.

    Not used on the platform, whose discovery agents are trusted.

    Attributes:
        driver: Passes lists and timers to the reconciler.
        reconciler: Decides which changes of the list are accepted.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        driver: ReconcilerDriver,
        on_failure: Callable[[], None],
        schedule: WatchSchedule,
    ) -> None:
        super().__init__(address, version, driver.apply_listing, on_failure, schedule)
        self.driver = driver
        self.reconciler = driver.reconciler

    async def close(self) -> None:
        """Stop the watch and the reconciler's timer."""
        self.driver.close()
        await super().close()


def reconciler_of(source: EndpointSource | None) -> EndpointReconciler | None:
    """Return the source's reconciler, or None."""
    return getattr(source, "reconciler", None)


def reconciler_driver_of(source: EndpointSource | None) -> ReconcilerDriver | None:
    """Return the source's reconciler driver, or None."""
    return getattr(source, "driver", None)


def _watch_schedule(config: Config) -> WatchSchedule:
    if config.settings.discovery_mode == messages.DiscoveryMode.POLL:
        return WatchSchedule.for_polled_service()
    return WatchSchedule.for_agent(config.settings.rules.drain_grace)

"""Injects the faults of a scenario."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace
from typing import TypeVar

from apigateway.messages import EndpointStatus
from apigateway.simulation.client_traffic import ClientTraffic
from apigateway.simulation.clock import SimulatedClock
from apigateway.simulation.fleet import Fleet
from apigateway.simulation.gateway import SimulatedGateway
from apigateway.simulation.host import HostMode, SimulatedHost
from apigateway.simulation.network import LinkFault, Network
from apigateway.simulation.scenario import FaultKind, FaultSettings, Scenario

REMOVAL_MARGIN_S = 6.0  # from the end of the drain, when no gateway may use the host, until its removal
RESTART_DELAY_FACTORS = (0.75, 0.5)  # random factor of `back`: minimum and width

T = TypeVar("T")


class FaultInjector:
    """Begins the faults of a scenario, and ends each of them after its duration."""

    def __init__(self, scenario: Scenario, fleet: Fleet, traffic: ClientTraffic, rng: random.Random) -> None:
        self._scenario = scenario
        self._fleet = fleet
        self._traffic = traffic
        self._rng = rng
        self._clock: SimulatedClock = fleet.environment.clock
        self._network: Network = fleet.environment.network
        self._injectors = {
            FaultKind.KILL: self._kill_gateways,
            FaultKind.REPLACE: self._replace_hosts,
            FaultKind.HANG: self._change_modes,
            FaultKind.ERROR: self._change_modes,
            FaultKind.FULL: self._change_modes,
            FaultKind.REFUSE: self._refuse_connections,
            FaultKind.REFUSE_SOME: self._refuse_connections,
            FaultKind.FALSE_REPORT: self._falsify_reports,
            FaultKind.SLOW: self._slow_hosts,
            FaultKind.ZONE_OUTAGE: self._stop_zone,
            FaultKind.ZONE_PARTITION: self._partition_zone,
            FaultKind.LINK: self._impair_link,
            FaultKind.COUNTER_SILENT: self._silence_counter,
            FaultKind.TRAFFIC_SHIFT: self._shift_traffic,
            FaultKind.SURGE: self._raise_load,
            FaultKind.ENDPOINT_LIST_DELAY: self._delay_endpoint_list,
            FaultKind.STALE_REPORTS: self._delay_reports,
        }

    def begin(self, fault: FaultSettings) -> None:
        """Begin a fault."""
        self._injectors[FaultKind(fault.what)](fault)

    def _draw_share(self, items: Sequence[T], share: float) -> list[T]:
        """Draw a share of some items, at least one if there are any."""
        if not items:
            return []
        return self._rng.sample(items, min(len(items), max(1, round(share * len(items)))))

    def _draw_hosts(self, fault: FaultSettings) -> list[SimulatedHost]:
        return self._draw_share(list(self._fleet.hosts.values()), fault.part)

    # Gateways

    def _kill_gateways(self, fault: FaultSettings) -> None:
        alive = [gateway for gateway in self._fleet.gateways if gateway.is_alive]
        for gateway in self._draw_share(alive, fault.part):
            self._kill(gateway, fault.back)

    def _kill(self, gateway: SimulatedGateway, restart_delay: float) -> None:
        """Kill a gateway, and restart it after about `restart_delay` seconds."""
        gateway.crash()
        min_factor, width = RESTART_DELAY_FACTORS
        self._clock.call_later(restart_delay * (min_factor + width * self._rng.random()), gateway.restart)

    # Hosts

    def _replace_hosts(self, fault: FaultSettings) -> None:
        for host in self._draw_hosts(fault):
            self._clock.call_later(self._rng.random() * fault.over, self._replace, host)

    def _replace(self, host: SimulatedHost) -> None:
        """Drain a host and add a cold one in its place."""
        endpoint = host.endpoint
        if endpoint.id not in self._fleet.hosts:
            return
        self._fleet.announce(replace(endpoint, state=EndpointStatus.DRAINING), reaches_all=True)
        successor = self._fleet.add_host(endpoint.zone, endpoint.cell, self._clock.now)
        self._fleet.announce(successor.endpoint)
        listing = self._scenario.listing
        grace = self._scenario.rules.drain_grace + listing.late + listing.spread
        self._clock.call_later(grace + REMOVAL_MARGIN_S, self._remove, host)

    def _remove(self, host: SimulatedHost) -> None:
        host.stop()
        self._fleet.hosts.pop(host.endpoint.id, None)
        self._fleet.announce(replace(host.endpoint, state=EndpointStatus.DOWN))

    def _change_modes(self, fault: FaultSettings) -> None:
        mode = HostMode(fault.what)
        for host in self._draw_hosts(fault):
            host.set_mode(mode)
            self._clock.call_later(fault.lasts, host.set_mode, HostMode.UP)

    def _refuse_connections(self, fault: FaultSettings) -> None:
        all_gateways = range(len(self._fleet.gateways))
        for host in self._draw_hosts(fault):
            # Drawn for both kinds of fault, so that later random numbers are the same.
            half = self._rng.sample(all_gateways, len(all_gateways) // 2)
            host.refused_gateways = set(all_gateways if fault.what == FaultKind.REFUSE else half)
            self._clock.call_later(fault.lasts, host.refused_gateways.clear)

    def _falsify_reports(self, fault: FaultSettings) -> None:
        def end(host: SimulatedHost) -> None:
            host.reporter.reports_idle = False

        for host in self._draw_hosts(fault):
            host.reporter.reports_idle = True
            self._clock.call_later(fault.lasts, end, host)

    def _slow_hosts(self, fault: FaultSettings) -> None:
        for host in self._draw_hosts(fault):
            host.set_speed_factor(fault.size)
            self._clock.call_later(fault.lasts, host.set_speed_factor, 1.0)

    def _delay_reports(self, fault: FaultSettings) -> None:
        def end(host: SimulatedHost) -> None:
            host.reporter.extra_delay = 0.0

        for host in self._hosts_in_zone(fault.zone):
            host.reporter.extra_delay = fault.size
            self._clock.call_later(fault.lasts, end, host)

    # Zones and links

    def _hosts_in_zone(self, zone: str) -> list[SimulatedHost]:
        return [host for host in self._fleet.hosts.values() if host.endpoint.zone == zone]

    def _stop_zone(self, fault: FaultSettings) -> None:
        """Stop all hosts and gateways of a zone silently."""
        for host in self._hosts_in_zone(fault.zone):
            host.stop()
            host.is_silent = True
            self._clock.call_later(fault.lasts, self._restart, host, fault.cold)
        for gateway in self._fleet.gateways:
            if gateway.location.zone == fault.zone and gateway.is_alive:
                self._kill(gateway, fault.lasts)

    def _restart(self, host: SimulatedHost, is_cold: bool) -> None:
        """Restart a host, unless it has been replaced."""
        endpoint = host.endpoint
        if self._fleet.hosts.get(endpoint.id) is not host:
            return
        started_at = self._clock.now if is_cold else endpoint.started_at
        host.restart(replace(endpoint, started_at=started_at))
        # A gateway that misses a cold start would be blamed for overloading the host.
        self._fleet.announce(host.endpoint, reaches_all=True)

    def _partition_zone(self, fault: FaultSettings) -> None:
        """Drop all messages between a zone and the others."""
        counter_zone = self._fleet.environment.counter_location.zone
        other_zones = {*self._scenario.zones, counter_zone} - {fault.zone}
        links = [LinkFault(fault.zone, other, loss=1.0) for other in sorted(other_zones)]
        self._add_link_faults(links, fault.lasts)

    def _impair_link(self, fault: FaultSettings) -> None:
        link = LinkFault(fault.there, fault.zone, delay=fault.size, loss=fault.lose, is_one_way=True)
        self._add_link_faults([link], fault.lasts)

    def _add_link_faults(self, links: list[LinkFault], duration: float) -> None:
        self._network.faults += links

        def end() -> None:
            for link in links:
                self._network.faults.remove(link)

        self._clock.call_later(duration, end)

    # Counter, endpoint list and traffic

    def _silence_counter(self, fault: FaultSettings) -> None:
        counter = self._fleet.environment.quota_counter
        counter.is_silent = True

        def end() -> None:
            counter.is_silent = False

        self._clock.call_later(fault.lasts, end)

    def _delay_endpoint_list(self, fault: FaultSettings) -> None:
        self._fleet.extra_list_delay = fault.size

        def end() -> None:
            self._fleet.extra_list_delay = 0.0

        self._clock.call_later(fault.lasts, end)

    def _shift_traffic(self, fault: FaultSettings) -> None:
        demand = self._traffic.demand
        for customer in self._draw_share(demand.customers, fault.part):
            demand.draw_gateway_preference(customer)

    def _raise_load(self, fault: FaultSettings) -> None:
        self._traffic.load_factor = fault.size

        def end() -> None:
            self._traffic.load_factor = 1.0

        self._clock.call_later(fault.lasts, end)

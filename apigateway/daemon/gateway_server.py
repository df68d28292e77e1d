"""One gateway: core, fronts, hosts, counter and membership put together, and their common life."""

from __future__ import annotations

import asyncio
import importlib
import logging
import socket
import time
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Protocol

from apigateway import messages
from apigateway.core.clock import MonotonicUnixClock
from apigateway.core.request_lifecycle import RequestDispatcher
from apigateway.counter.client import QuotaCounterClient
from apigateway.daemon.config import Config
from apigateway.frontends.resp.front import RespFront
from apigateway.membership.discovery import DiscoveryClient
from apigateway.membership.listing import Listing
from apigateway.membership.watch_schedule import WatchSchedule
from apigateway.policy import Gateway
from apigateway.upstream.address import Address, write_address
from apigateway.upstream.upstream_connections import UpstreamConnections

if TYPE_CHECKING:
    from apigateway.core.admission import AdmissionController
    from apigateway.daemon.ratelimit import Built, RateLimits
    from apigateway.frontends.grpc.front import GrpcFront
    from apigateway.membership.reconciler import EndpointReconciler
    from apigateway.membership.reconciler_driver import ReconcilerDriver
    from apigateway.plugins.live import Hooks as Plugins
    from apigateway.policy.overload_gate import Gate

OWN_MEMORY = 40 * 1024 * 1024  # bytes that the program takes itself, with some to spare
LEAST_HELD = 4 * 1024 * 1024  # bytes of bodies, and as many of half commands, that there is always room for
SETTLE = 1.0  # s that clients of gRPC have to hear that connections end, and to let them
HALF = 0.25  # s that the rest of a command may take to come once connections end
LAST = 0.1  # s for what waits at a listener about to close; where it never ends, later ones are reset
READ = 0.005  # s for the loop to read what lay in the sockets when the connections were told to end
SPARE_SOCKETS = 64  # descriptors that are neither clients' nor hosts' connections

log = logging.getLogger(__name__)


class Source(Protocol):
    """A source of the list of hosts: core.ports.Membership, and its end."""

    @property
    def version(self) -> int: ...

    @property
    def watching(self) -> object: ...

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    async def close(self) -> None: ...


class GatewayServer:
    """`start`, `reload`, `stop`; for a hand-over `prepare`, `begin`, `pause`, `resume` in their place.
    `limits`: what is to be built of a rate limit service; None: nothing of it is loaded."""

    def __init__(self, config: Config, limits: Built | None = None) -> None:
        self.config, self.loop = config, asyncio.get_running_loop()
        # Connections, half of them clients'.
        self.room = max(config.sockets - SPARE_SOCKETS, config.sockets // 2)
        # Bodies in work and half commands are bounded: past the limit of memory the program is killed.
        self.most_held = max(LEAST_HELD, (config.memory - OWN_MEMORY) // 4)
        self.upstream = UpstreamConnections(config.connect_timeout, config.idle_close, self.room // 2)
        settings = config.settings
        self.counter = (
            QuotaCounterClient(config.counter, settings.counter_timeout) if config.counter else None
        )
        self.clock = MonotonicUnixClock()  # one for the module's birth and all its events
        self.core = RequestDispatcher(
            settings,
            self.module(),
            self.upstream,
            self.counter,
            self.loop,
            config.max_open,
            self.most_held,
            self.clock,
        )
        self.listing = config.known  # the whole list as it is now
        self.listed_at = time.monotonic()
        self.known = asyncio.Event()  # there are hosts
        self.gate: Gate | None = None
        self.frontends: list[RespFront | GrpcFront] = []
        self.open_door(config)
        self.limits = self.made(limits) if limits is not None else None
        if self.limits is not None:
            self.limits.take_up(limits)
        self.frontends = [
            self.front(address, config, self.limits, limits) for address in (config.listen, *config.more)
        ]
        self.core.membership = self.endpoint_source = self.source(config, config.known.hosts.version)
        self.plugins: Plugins | None = None
        self.endings: set[asyncio.Task[None]] = set()  # what a reload replaced, until it has ended

    def module(self) -> Gateway:
        return Gateway(self.config.settings, self.config.seed, self.clock())

    def made(self, built: Built) -> RateLimits:
        module = importlib.import_module("apigateway.daemon.ratelimit")  # only where settings want it
        limits: RateLimits = module.RateLimits(self, built)
        return limits

    def front(
        self, address: Address, config: Config, limits: RateLimits | None = None, built: Built | None = None
    ) -> RespFront | GrpcFront:
        if address in config.grpc:
            assert limits is not None and built is not None
            return limits.front(address, self.room // 2, self.most_held, built)
        front = RespFront(self.core, self.room // 2, self.most_held, address, config.span)
        front.take_tokens(limits.tokens if limits is not None else None)
        return front

    def open_door(self, config: Config) -> None:
        """What is turned away early while the core is short, as the settings have it: not on the platform."""
        self.core.admission = self.door(config)
        for front in self.frontends:
            front.watch_door()

    def door(self, config: Config) -> AdmissionController | None:
        if config.overload is None:
            return None
        from apigateway.core.admission import AdmissionController
        from apigateway.policy.overload_gate import Gate

        limits = config.settings.limits
        terms = (*config.overload, limits.max_retry_after if limits.can_tell_retry_after else 0.0)
        if self.gate is None:
            self.gate = Gate(*terms, config.seed)
        self.gate.set(*terms)
        return self.core.admission or AdmissionController(self.gate, self.loop)

    def share(self) -> None:
        """Fronts have even parts of the connections and of the bytes of half commands."""
        for front in self.frontends:
            front.share(self.room // 2 // len(self.frontends), self.most_held // len(self.frontends))

    def source(self, config: Config, version: int) -> Source:
        if config.hosts_file is not None:
            from apigateway.membership.file import EndpointFileSource  # the platform's `run` does without

            return EndpointFileSource(config.hosts_file, self.listed, self.core.on_endpoint_list_failed)
        # the reconciler of the last source goes on, with its doubts and its age
        last_source = getattr(self, "endpoint_source", None)
        reconciler: EndpointReconciler | None = getattr(last_source, "reconciler", None)
        if config.discovery is None:
            from apigateway.membership.eureka.source import EurekaSource, resolve

            assert config.registry is not None
            own = {config.listen, *config.more}
            if config.own is not None:
                own.add((config.own.ip, config.own.port))
            by_name = resolve if config.registry.mapping.address == "name" else None
            return EurekaSource(
                config.registry,
                self.listing,
                self.listed,
                self.core.on_endpoint_list_failed,
                own,
                by_name,
                self.core.clock,
                reconciler=reconciler,
            )
        if config.settings.discovery_mode == "ask":
            schedule = WatchSchedule.for_polled_service()
        else:
            schedule = WatchSchedule.for_agent(config.settings.rules.drain_grace)
        if config.trust is not None:
            from apigateway.membership.reconciler_driver import ReconcilerDriver

            judge = ReconcilerDriver(config.trust, self.listing, self.listed, self.core.clock, reconciler)
            return ReconciledDiscovery(
                config.discovery, version, judge, self.core.on_endpoint_list_failed, schedule
            )
        is_start = not hasattr(
            self, "endpoint_source"
        )  # after a reload another service has versions of its own
        return DiscoveryClient(
            config.discovery,
            version,
            self.listed,
            self.core.on_endpoint_list_failed,
            schedule,
            is_list_known=is_start and bool(config.known.hosts.endpoints),
        )

    def listed(self, listing: Listing) -> None:
        self.listed_at = time.monotonic()
        if self.core.is_ready and listing.hosts.mode == "delta" and not listing.hosts.endpoints:
            return  # a watch that ended with no news
        self.listing = merged(self.listing, listing)
        self.core.on_endpoint_list(listing.hosts, listing.addresses)
        if self.core.is_ready:
            self.known.set()

    def leave(self, zones: tuple[str, ...]) -> None:
        """Nothing new goes to hosts of these zones from now on, as long as there are others."""
        self.core.dispatch(messages.EvacuateZones(zones))
        known = {host.zone for host in self.listing.hosts.endpoints}
        if known and known <= set(zones):
            log.warning("sites.leave names all zones of the list (%s): none is left", " ".join(sorted(known)))
        else:
            log.info("sites left by the settings: %s", ", ".join(zones) or "none")

    def prepare(self) -> None:
        """All but the listeners: hosts, counter, membership. Before the first client the module knows its
        hosts."""
        self.listed(self.config.known)
        if self.config.leave:
            self.leave(self.config.leave)
        self.upstream.start_checks()
        if self.counter:
            self.counter.start()
        if self.core.settings.discovery_mode == "push":
            self.endpoint_source.watch(True)

    async def listen(self, sockets: Mapping[Address, socket.socket] | None = None) -> int:
        """Returns the first front's port. `sockets` are used, and kept open, in place of new ones; each front
        gets a duplicate."""
        self.share()
        for front in self.frontends:
            given = sockets.get(front.address) if sockets else None
            await front.listen(given.dup() if given is not None else None)
        return self.frontends[0].port

    async def start(self) -> int:
        """Returns the port that clients connect to."""
        self.prepare()
        return await self.listen()

    def reload(self, config: Config) -> None:
        """Goes over to the addresses of a new configuration. The rest of it holds from the next start on."""
        if self.core.is_draining:
            return
        old, self.config = self.config, config
        if (old.settings, old.listen, old.sockets) != (config.settings, config.listen, config.sockets):
            log.warning("only new addresses of discovery and counter are taken up before the next start")
        if self.counter and config.counter:
            self.counter.change_address(config.counter)
        self.go_over(self.source(config, self.endpoint_source.version))
        if config.discovery:
            log.info("new configuration: discovery %s:%d", *config.discovery)

    def go_over(self, source: Source) -> None:
        """Takes the list of hosts from elsewhere from now on; the last list stays until that one tells its
        own."""
        replaced, self.endpoint_source = self.endpoint_source, source
        self.core.membership = source
        if replaced.watching:  # the watch begins with the whole list: another service has versions of its own
            source.watch(True)
        replaced.watch(False)  # at once: what it was told in this turn of the loop is not heard any more
        self.ending(replaced.close())

    def ending(self, coroutine: Coroutine[object, object, None]) -> None:
        ending = self.loop.create_task(coroutine)
        self.endings.add(ending)
        ending.add_done_callback(self.endings.discard)

    # Reload of our own settings: what is built is swapped in here, and cannot fail any more

    def swap(
        self,
        config: Config,
        added: Sequence[RespFront | GrpcFront],
        gone: set[Address],
        source: Source | None,
        limits: RateLimits | None = None,
        built: Built | None = None,
    ) -> None:
        old, self.config = self.config, config
        if config.counter != old.counter and self.counter and config.counter:
            self.counter.change_address(config.counter)
        if source is not None:
            self.go_over(source)
        if config.leave != old.leave:
            self.leave(config.leave)
        self.core.request_budget.limit = config.max_open
        self.open_door(config)
        leaving = [front for front in self.frontends if front.address in gone]
        self.frontends = [*(front for front in self.frontends if front.address not in gone), *added]
        self.share()
        if limits is not None:
            self.limits = limits
            limits.take_up(built)
        for front in leaving:
            if limits is not None:
                limits.left(front)
            waited = front.unaccepted
            if not waited:  # at once: who hears that the reload took effect finds the address closed
                front.finish()
            self.ending(self.left(front, waited))

    async def left(self, front: RespFront | GrpcFront, waited: bool) -> None:
        """A front whose listener goes: what it took is answered, then its connections end. `waited`: a
        connection was still to be accepted, and its listener is not closed yet."""
        if waited:
            await self.finish([front])
        await front.drained()
        front.close()

    def plug_in(self, plugins: Plugins | None) -> None:
        """Requests taken from now on go by these; None: by none."""
        replaced, self.plugins = self.plugins, plugins
        self.core.plugins = plugins
        if replaced is not None and replaced is not plugins:
            replaced.retire()

    # What it believes

    def hosts_believed(self) -> dict[str, Any]:
        """For `api-gateway hosts`. Times in seconds."""
        reconciler: EndpointReconciler | None = getattr(self.endpoint_source, "reconciler", None)
        if reconciler is not None:
            now = self.core.clock()
            age = now - reconciler.last_update_at
            hosts = [
                described(
                    record.accepted.endpoint,
                    record.accepted.address,
                    record.doubt,
                    now - record.state_since,
                )
                for record in reconciler.records.values()
            ]
        else:
            age = time.monotonic() - self.listed_at
            hosts = [
                described(host, self.listing.addresses.get(host.id)) for host in self.listing.hosts.endpoints
            ]
        from apigateway.daemon.choice import taken_for  # only who is asked needs it

        told: dict[str, Any] = {
            "source": self.source_name(),
            "age": age if age < float("inf") else None,
            "hosts": hosts,
        }
        if isinstance(self.core.module, Gateway):
            for host in hosts:
                host["choice"] = taken_for(self.core.module.pool, host["id"], self.core.clock())
            told["choices"] = dict(self.core.module.pool.choice_counts)
            told["left"] = list(self.config.leave)
            told["sites"] = self.core.module.pool.zone_health.told(self.core.clock())
        return told

    def plugins_told(self) -> dict[str, Any]:
        """For `api-gateway plugin status`."""
        return self.plugins.told() if self.plugins is not None else {"plugins": [], "records": None}

    def limits_told(self) -> dict[str, Any]:
        """For `api-gateway ratelimit status`."""
        return (
            self.limits.told()
            if self.limits is not None
            else {"listeners": [], "tokens": None, "outer": None}
        )

    def source_name(self) -> str:
        if self.config.hosts_file is not None:
            return f"file {self.config.hosts_file}"
        url = getattr(self.endpoint_source, "url", "")
        return f"{'discovery' if self.config.discovery else 'registry'} {url}"

    # A hand-over

    async def pause(self) -> None:
        """No new connections here; whoever else holds the listening sockets accepts them. The ceilings'
        stores fill no further: from now on the successor's do."""
        for front in self.frontends:
            front.pause()
        self.core.dispatch(messages.DrainGateway(True))

    async def resume(self, sockets: Mapping[Address, socket.socket]) -> None:
        """The successor failed: goes on as before."""
        self.core.dispatch(messages.DrainGateway(False))
        await self.listen(sockets)

    def begin(self, listing: Listing) -> None:
        """The decision module begins its life now, with the hosts that this process believes in; `listing` is
        the predecessor's last. What only one of the two was told to be draining drains: the gateway was told.
        The source is asked anew, so that what was taken too badly is mended."""
        self.core.module = self.module()
        self.core.dispatch(replace(self.listing.hosts, mode="cached"))
        up = {h.id for h in self.listing.hosts.endpoints if h.state == "up"}
        late = [h for h in listing.hosts.endpoints if h.state != "up" and h.id in up]
        if not late:
            return
        judge: ReconcilerDriver | None = getattr(self.endpoint_source, "driver", None)
        if judge is not None:  # through its belief, or what it tells later would not be a change
            judge.mark_draining(h.id for h in late)
        else:
            self.listed(Listing(messages.EndpointList("delta", self.listing.hosts.version, tuple(late)), {}))
        self.endpoint_source.fetch()

    # The end

    @staticmethod
    async def finish(fronts: Sequence[RespFront | GrpcFront]) -> None:
        """Closes listeners and resting connections, once what waited at the listeners has been accepted: the
        kernel took it, and a close would reset it with the requests that it carries."""
        last = time.monotonic() + LAST
        while any(front.unaccepted for front in fronts) and time.monotonic() < last:
            await asyncio.sleep(READ)
        for front in fronts:
            front.finish()

    async def stop(self, linger: float | None = None) -> None:
        """After SIGTERM: goes on while connections still come, then finishes what it has taken."""
        began = time.monotonic()
        self.core.is_draining = True
        for front in self.frontends:
            front.stopping()
        await asyncio.sleep(self.config.linger if linger is None else linger)
        await self.finish(self.frontends)
        await asyncio.sleep(READ)
        door, until = self.core.admission, began + self.config.finish
        while (
            door is not None and door.deferred_connections and time.monotonic() < until
        ):  # read, and not looked at yet
            await asyncio.sleep(0)
        for front in self.frontends:
            most = SETTLE if front.address in self.config.grpc else HALF
            await front.settled(min(most, max(0.0, until - time.monotonic())))
        await self.core.drain(began + self.config.finish - time.monotonic())
        await asyncio.sleep(0)  # the last answers are written at the end of this turn, if they are taken
        while any(front.owes for front in self.frontends) and time.monotonic() < until:
            await asyncio.sleep(READ)
        for front in self.frontends:
            front.close()
        self.upstream.close()
        if self.counter:
            self.counter.close()
        await self.endpoint_source.close()
        if self.plugins is not None:
            self.plugins.close()
        if self.limits is not None:
            self.limits.close()
        for ending in list(self.endings):
            ending.cancel()
        await asyncio.gather(*self.endings, return_exceptions=True)


class ReconciledDiscovery(DiscoveryClient):
    """Discovery whose lists are not taken at their word: not on the platform, whose agents do not lie."""

    def __init__(
        self,
        address: Address,
        version: int,
        judge: ReconcilerDriver,
        failed: Callable[[], None],
        schedule: WatchSchedule,
    ) -> None:
        super().__init__(address, version, judge.apply_listing, failed, schedule)
        self.driver = judge
        self.reconciler = judge.reconciler

    async def close(self) -> None:
        self.driver.close()
        await super().close()


def described(
    host: messages.Endpoint, address: Address | None, doubt: str = "", since: float | None = None
) -> dict[str, Any]:
    return {
        "id": host.id,
        "address": write_address(address) if address else "",
        "zone": host.zone,
        "cell": host.cell,
        "kind": host.kind,
        "state": {"leaving": "draining", "down": "gone"}.get(host.state, host.state),
        "doubt": doubt,
        "since": since,
    }


def merged(old: Listing, new: Listing) -> Listing:
    """The whole list after `new`, which may be a delta."""
    if new.hosts.mode != "delta":
        return new
    hosts = {h.id: h for h in old.hosts.endpoints} | {h.id: h for h in new.hosts.endpoints}
    kept = tuple(h for h in hosts.values() if h.state != "down")
    addresses = {**old.addresses, **new.addresses}
    return Listing(
        messages.EndpointList("full", new.hosts.version, kept),
        {h.id: addresses[h.id] for h in kept if h.id in addresses},
    )

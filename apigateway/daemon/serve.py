"""`api-gateway serve`: a gateway from our own settings file, its start, reloads, hand-over and end."""

from __future__ import annotations

import asyncio
import gc
import importlib
import logging
import os
import signal
import socket
import sys
from dataclasses import replace
from types import ModuleType
from typing import TYPE_CHECKING, Any

import msgspec
import uvloop

from apigateway.config_validation import InvalidConfigFileError
from apigateway.daemon import pending_signals
from apigateway.daemon.config import Config, ConfigError, read_config
from apigateway.daemon.gateway_server import GatewayServer, Source
from apigateway.daemon.handover import (
    HandoverError,
    HandoverInProgressError,
    HandoverOffer,
    HandoverPredecessor,
    HandoverSuccessor,
)
from apigateway.daemon.lock import StateFolderLock, StateFolderLockedError
from apigateway.daemon.logs import LogRateLimiter, start_log
from apigateway.daemon.notify import Notifier
from apigateway.daemon.settings import Settings, read_settings
from apigateway.daemon.settings_reload import compare_settings, reloadable_keys
from apigateway.daemon.settings_runtime import build_config
from apigateway.daemon.sockets import bind_listener, match_to_listeners, sockets_from_service_manager
from apigateway.daemon.supervisor import supervise
from apigateway.daemon.workers import read_worker_assignment, settings_for_worker
from apigateway.frontends.resp.front import RespFront
from apigateway.membership.listing import read_list, write_list
from apigateway.upstream.address import Address, read_address, write_address

if TYPE_CHECKING:
    from apigateway.daemon.ratelimit import Built
    from apigateway.frontends.grpc.front import GrpcFront
    from apigateway.membership.eureka.registration import Registration

OK, FAILED, UNUSABLE, TRY_AGAIN = 0, 1, 2, 75  # exit codes; the last as in sysexits.h
# s that a successor waits for a line to the counter; a counter that is away stops no hand-over
COUNTER_WAIT = 1.0

log = logging.getLogger(__name__)


def read(path: str, again: bool = False) -> tuple[Settings, Config]:
    """The settings file, and beside it the platform's configuration where RELAY_CONFIG names one. Raises
    InvalidConfigFileError or ConfigError."""
    if not os.environ.get("RELAY_CONFIG"):
        settings, share = read_settings(path), read_worker_assignment()
        if share is None:
            return settings, build_config(path, settings)
        span = share.count if settings.workers.address == "shared" else 1
        settings = settings_for_worker(settings, share)
        return settings, build_config(path, settings, span)
    settings = read_settings(path, beside=True)
    more = tuple(read_address(listener.address) for listener in settings.listeners)
    return settings, replace(
        read_config(again=again), more=more, linger=settings.daemon.linger, finish=settings.daemon.finish
    )


def in_force(old: Settings, new: Settings) -> Settings:
    """What holds after a reload: of the new settings those that a reload takes up, else the old."""
    tree, told = msgspec.to_builtins(old), msgspec.to_builtins(new)
    for key in reloadable_keys(old, new):
        part, _, name = key.partition(".")
        if name:
            tree[part][name] = told[part][name]
        else:
            tree[part] = told[part]
    return msgspec.convert(tree, Settings)


class Daemon:
    def __init__(
        self, path: str, settings: Settings, config: Config, seldom: LogRateLimiter | None = None
    ) -> None:
        self.path, self.settings, self.config, self.seldom = path, settings, config, seldom
        self.loop = asyncio.get_running_loop()
        self.told = asyncio.Event()  # to stop
        self.notifier = Notifier()
        self.sockets: dict[Address, socket.socket] = {}  # the listening ones, kept open for a hand-over
        self.lock: StateFolderLock | None = None
        self.keeper: HandoverPredecessor | None = None
        self.heir: HandoverSuccessor | None = None
        self.node: GatewayServer
        self.reloading: asyncio.Task[None] | None = None
        self.again = False  # told to reload while a reload was under way
        self.handed_over = False
        self.registration: Registration | None = None

    # Start

    async def run(self, take_over: bool = False) -> int:
        """Serves until it is told to stop. Raises OSError, StateFolderLockedError or HandoverError if it
        cannot start."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.told.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.hup)
        try:
            if await self.start(take_over):  # else it was told to stop before it served
                if pending_signals.take_reload_request():
                    self.hup()
                await self.told.wait()
                await self.stop()
        finally:
            self.close()
        return OK

    async def start(self, take_over: bool) -> bool:
        """Whether it serves; False: it was told to stop before."""
        state, wanted = self.settings.daemon.state, (self.config.listen, *self.config.more)
        share = read_worker_assignment()
        if share is not None:  # a worker without its supervisor would serve on unseen, and hold its address
            self.notifier.on_manager_gone = self.told.set
        self.sockets = match_to_listeners(
            share.adopt_listeners() if share is not None else sockets_from_service_manager(), wanted
        )
        if take_over:
            inherited = await self.inherit(state)
            for address in inherited.keys() & self.sockets.keys():  # a worker's, given by its supervisor too
                self.sockets.pop(address).close()
            self.sockets |= inherited
        elif state:
            self.lock = StateFolderLock(state)
        for address in wanted:
            if address not in self.sockets:
                self.sockets[address] = bind_listener(address)
        plugins = await self.build_plugins(self.settings)  # raises before anything is served
        self.node = GatewayServer(self.config, await self.build_limits(self.settings, self.config))
        self.node.core.in_flight_registry = share.open_in_flight_table() if share is not None else None
        if plugins is not None:
            self.plugins().start(self.node, plugins, self.settings.hooks.tick)
        self.node.prepare()
        if self.config.own is not None and self.config.registry is not None:
            from apigateway.membership.eureka.registration import Registration

            registry = self.config.registry
            self.registration = Registration(
                registry.urls, self.config.own, registry.user, registry.password, registry.timeout
            )
            self.registration.start()
        if not await self.able(self.settings.daemon.handover_wait if take_over else None):
            return False
        if self.heir is not None:
            known = await self.heir.announce_ready()
            self.node.begin(read_list(known, "cached"))
        await self.node.listen(self.sockets)
        if self.heir is not None:
            try:
                await self.heir.announce_serving()
            except HandoverError:  # the predecessor accepts again: two of a name must not
                await self.node.stop(0.0)
                raise
        if self.lock is not None:
            self.lock.record_holder()
            self.keeper = HandoverPredecessor(
                os.path.join(state, "handover"),
                self.offer,
                self.node.pause,
                self.resume,
                self.succeeded,
                self.settings.daemon.handover_wait,
            )
            self.keeper.status_queries["hosts"] = self.node.hosts_believed
            self.keeper.status_queries["plugins"] = self.node.plugins_told
            self.keeper.status_queries["ratelimit"] = self.node.limits_told
            self.keeper.open()
        if self.registration is not None:
            self.registration.mark_up()
        gc.freeze()  # what the start made stays for good: no collection need look at it again
        for front in self.node.frontends:
            log.info("%s listens on %s", self.config.name, write_address((front.address[0], front.port)))
        self.notifier.ready(f"serving as {self.config.name}", main=take_over)
        return True

    @staticmethod
    def plugins() -> ModuleType:
        """Imported where there are any: a daemon without them holds none of it."""
        return importlib.import_module("apigateway.daemon.plugins")

    async def build_plugins(self, settings: Settings) -> Any:
        """Loaded and proved beside the loop; None where settings name none. Raises InvalidConfigFileError."""
        if not (settings.plugins or settings.records.file):
            return None
        old = self.node.plugins if hasattr(self, "node") else None
        return await asyncio.to_thread(
            self.plugins().build, self.path, settings, self.config.settings, old, self.settings.records
        )

    async def build_limits(self, settings: Settings, config: Config) -> Built | None:
        """The rate limit service, and an outer one, beside the loop; None where settings want neither. Raises
        InvalidConfigFileError."""
        if not (config.grpc or settings.ratelimit.token_keys or settings.ask.address):
            return None
        module = importlib.import_module("apigateway.daemon.ratelimit")
        built: Built | None = await asyncio.to_thread(module.build, self.path, settings, config)
        return built

    async def inherit(self, state: str) -> dict[Address, socket.socket]:
        if not state:
            raise HandoverError("daemon.state names no folder, so there is nobody to take over from")
        self.heir = HandoverSuccessor(os.path.join(state, "handover"))
        listeners, descriptors, known = await self.heir.take_over()
        if "workers" in known:
            for number in descriptors:
                os.close(number)
            raise HandoverError("what runs there has workers: say --workers, or restart it")
        sockets = [socket.socket(fileno=number) for number in descriptors[:-1]]
        for sock in sockets:
            sock.setblocking(False)
        self.lock = StateFolderLock(state, descriptors[-1])
        if known:
            self.config = replace(self.config, known=read_list(known, "cached"))
        wanted = {write_address(address): address for address in (self.config.listen, *self.config.more)}
        kept: dict[Address, socket.socket] = {}
        for name, sock in zip(listeners, sockets, strict=True):
            if name in wanted:
                kept[wanted[name]] = sock
            else:  # a listener that the new settings have no more
                sock.close()
        return kept

    async def able(self, seconds: float | None) -> bool:
        """Until hosts are known, and a line to the counter is up or that has had its time. False if it was
        told to stop meanwhile. Raises HandoverError after `seconds`."""
        if not self.node.core.is_ready:
            log.info("waiting for a list of hosts")
        told = self.loop.create_task(self.told.wait())
        known = self.loop.create_task(self.node.known.wait())
        done, _ = await asyncio.wait((told, known), timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        told.cancel()
        known.cancel()
        if not done:
            raise HandoverError(f"no list of hosts within {seconds:.0f} s")
        if self.heir is not None and self.node.counter is not None:
            await self.node.counter.wait_until_connected(COUNTER_WAIT)
        return not self.told.is_set()

    # Hand-over, as the predecessor

    def offer(self) -> HandoverOffer:
        assert self.lock is not None
        names = [write_address(address) for address in self.sockets]
        descriptors = [sock.fileno() for sock in self.sockets.values()] + [self.lock.descriptor]
        return HandoverOffer(names, descriptors, write_list(self.node.listing))

    async def resume(self) -> None:
        if not self.told.is_set():  # else it ends, and accepts no more
            await self.node.resume(self.sockets)

    def succeeded(self) -> None:
        self.handed_over = True
        self.told.set()

    # Reload

    def hup(self) -> None:
        if self.told.is_set() or (self.keeper is not None and self.keeper.is_in_progress):
            log.warning("no reload during a stop or a hand-over")
        elif self.reloading is not None:
            self.again = True
        elif hasattr(self, "node"):
            self.reloading = self.loop.create_task(self.reload())
        else:  # the settings were read before
            pending_signals.record_reload()

    async def reload(self) -> None:
        try:
            while True:
                self.again = False
                self.notifier.reloading()
                status = await self.reload_once()
                log.info("reload: %s", status)
                self.notifier.ready(status)
                if not self.again:
                    return
        finally:
            self.reloading = None

    async def reload_once(self) -> str:
        """Builds the new beside the old, then swaps it in whole; or leaves the old in force. Says which."""
        try:
            settings, config = await asyncio.to_thread(read, self.path, True)
        except (InvalidConfigFileError, ConfigError) as err:
            for line in str(err).splitlines():
                log.error("%s", line)
            return "refused, the old settings stay"
        moved = {*self.config.grpc} ^ {*config.grpc}
        both = {self.config.listen, *self.config.more} & {config.listen, *config.more}
        for address in moved & both:
            log.error(
                "%s: listeners: %s: its protocol changes by a restart or a hand-over only",
                self.path,
                write_address(address),
            )
            return "refused, the old settings stay"
        try:
            built_limits = await self.build_limits(settings, config)
            plugins = await self.build_plugins(settings)
        except InvalidConfigFileError as err:
            for line in str(err).splitlines():
                log.error("%s", line)
            return "refused, the old settings stay"
        live, restart = compare_settings(self.settings, settings)
        if not os.environ.get("RELAY_CONFIG"):
            config = replace(
                self.config,
                more=config.more,
                listen=config.listen,
                grpc=config.grpc,
                hosts_file=config.hosts_file,
                discovery=config.discovery,
                registry=config.registry,
                trust=config.trust,
                counter=config.counter if self.config.counter else None,
                max_open=config.max_open,
                overload=config.overload,
                linger=config.linger,
                finish=config.finish,
                leave=config.leave,
            )
        addresses = [config.listen, *config.more]
        built: dict[Address, socket.socket] = {}
        fronts: list[RespFront | GrpcFront] = []
        limits = self.node.limits
        if limits is None and built_limits is not None:
            limits = self.node.made(built_limits)
        try:
            for address in addresses:
                if address not in self.sockets:
                    built[address] = bind_listener(address)
            for address, sock in built.items():
                front = self.node.front(address, config, limits, built_limits)
                fronts.append(front)
                await front.listen(sock.dup())
            source = self.source(config)
            # The last that can fail: plug-ins take over what those before them have saved.
            status = self.swap_plugins(settings, plugins)
        except BaseException as err:  # also a stop in the middle of it: nothing of the new is left
            if plugins is not None and not isinstance(err, InvalidConfigFileError):
                self.plugins().drop(plugins.version, self.node.plugins)
            for front in fronts:
                front.finish()
                front.close()
                if limits is not None:
                    limits.left(front)
            for sock in built.values():
                sock.close()
            if isinstance(err, InvalidConfigFileError):
                log.error("%s", err)
                return "refused, the old settings stay"
            if not isinstance(err, OSError):
                raise
            log.error("%s: listeners: %s; choose another address", self.path, err.strerror)
            return "refused, the old settings stay"
        # From here on nothing waits and nothing can fail: the swap is whole.
        gone = self.sockets.keys() - set(addresses)
        if os.environ.get("RELAY_CONFIG"):
            self.node.reload(config)
        reread = ""
        if limits is not None:
            module = importlib.import_module("apigateway.daemon.ratelimit")
            reread = module.compared(limits.built, built_limits)
        self.node.swap(config, fronts, gone, source, limits, built_limits)
        for address in gone:
            self.sockets.pop(address).close()
        self.sockets.update(built)
        self.config, self.settings = config, in_force(self.settings, settings)
        if self.seldom is not None:
            self.seldom.max_lines_per_second = settings.daemon.log_lines
        if self.keeper is not None:
            self.keeper.ready_timeout_s = settings.daemon.handover_wait
        parts = [f"took effect: {', '.join(live)}"] if live else []
        parts += [one for one in (status, reread) if one]
        parts += [f"needs a restart or a hand-over: {', '.join(restart)}"] if restart else []
        return "; ".join(parts) or "nothing changed"

    def swap_plugins(self, settings: Settings, plugins: Any) -> str:
        """What is other than before, for the log. Raises InvalidConfigFileError; then the old
        are as they were."""
        if plugins is not None:
            self.plugins().swap(self.path, self.node, plugins, settings.hooks.tick)
            return str(plugins.status)
        old = self.node.plugins
        self.node.plug_in(None)
        return str(self.plugins().compared(old.version, None)) if old is not None else ""

    def source(self, config: Config) -> Source | None:
        """Where the list comes from now on, if from elsewhere."""
        old = self.config
        same = (config.hosts_file, config.discovery, config.registry, config.trust) == (
            old.hosts_file,
            old.discovery,
            old.registry,
            old.trust,
        )
        beside = bool(os.environ.get("RELAY_CONFIG"))
        return None if same or beside else self.node.source(config, self.node.endpoint_source.version)

    # The end

    async def stop(self) -> None:
        self.notifier.stopping() if not self.handed_over else None
        if self.reloading is not None:
            self.reloading.cancel()
            await asyncio.gather(self.reloading, return_exceptions=True)
        if self.handed_over:  # another accepts what still comes, and holds the registration under the same id
            await self.node.stop(0.0)
            if self.registration is not None:
                await self.registration.close()
            return
        if self.registration is not None:
            await self.registration.mark_down()
        await self.node.stop()
        if self.registration is not None:
            await self.registration.deregister()

    def close(self) -> None:
        if self.keeper is not None:
            self.keeper.close()
        for sock in self.sockets.values():
            sock.close()
        if self.lock is not None:
            self.lock.close()
        self.notifier.close()


def serve(path: str, take_over: bool = False, workers: int = 0) -> int:
    """Runs until SIGTERM. `workers`: in place of the settings' count. Returns the exit code."""

    async def run(settings: Settings, config: Config) -> int:
        count = workers or settings.workers.count
        if count > 1 and read_worker_assignment() is None:
            if os.environ.get("RELAY_CONFIG") or not config.counter:
                raise ValueError("several workers need a counter, and are not for the platform")
            return await supervise(path, settings, count, take_over)
        return await Daemon(path, settings, config, seldom).run(take_over)

    try:
        settings, config = read(path)
        seldom = start_log(settings.daemon.log_lines)
        return int(uvloop.run(run(settings, config)))
    except (InvalidConfigFileError, ConfigError) as err:
        for line in str(err).splitlines():
            print(f"api-gateway: {line}", file=sys.stderr)
        return UNUSABLE
    except HandoverInProgressError as err:
        print(f"api-gateway: {err}; try again", file=sys.stderr)
        return TRY_AGAIN
    except (OSError, StateFolderLockedError, HandoverError, ValueError) as err:
        print(f"api-gateway: {err}", file=sys.stderr)
        return FAILED

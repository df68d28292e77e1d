"""One gateway: core, fronts, hosts, counter and membership put together, and their common life."""

from __future__ import annotations

import asyncio
import logging
import time

from calicomast.core.life import Core
from calicomast.counting.client import Counter
from calicomast.daemon.config import Config
from calicomast.fronts.resp.front import RespFront
from calicomast.membership.discovery import Discovery
from calicomast.membership.listing import Listing
from calicomast.net.hosts import Hosts
from calicomast.policy import Gateway

OWN_MEMORY = 40 * 1024 * 1024  # bytes that the program takes itself, with some to spare
LEAST_HELD = 4 * 1024 * 1024  # bytes of bodies, and as many of half commands, that there is always room for
SPARE_SOCKETS = 64  # descriptors that are neither clients' nor hosts' connections
LINGER = 0.5  # s after SIGTERM in which connections still come
FINISH = 3.4  # s after SIGTERM by which everything is answered: SIGKILL is not far

log = logging.getLogger(__name__)


class GatewayNode:
    def __init__(self, config: Config) -> None:
        self.config, self.loop = config, asyncio.get_running_loop()
        self.room = max(config.sockets - SPARE_SOCKETS, config.sockets // 2)  # half of it is for clients
        # Bodies in work and half commands are bounded: past the limit of memory the program is killed.
        self.most_held = max(LEAST_HELD, (config.memory - OWN_MEMORY) // 4)
        self.hosts = Hosts(config.connect_timeout, config.idle_close, self.room // 2)
        settings = config.settings
        self.counter = Counter(config.counter, settings.counter_timeout) if config.counter else None
        self.core = Core(settings, None, self.hosts, self.counter, self.loop, config.max_open, self.most_held)
        self.core.module = Gateway(settings, config.seed, self.core.clock())
        self.fronts = [RespFront(self.core, self.room // 2, self.most_held)]
        self.core.membership = self.discovery = self.watcher(config, config.known.hosts.version)
        self.endings: set[asyncio.Task[None]] = set()  # what a new configuration replaced, until it has ended

    def watcher(self, config: Config, version: int) -> Discovery:
        return Discovery(config.discovery, version, self.listed, self.core.list_failed)

    def listed(self, listing: Listing) -> None:
        self.core.listed(listing.hosts, listing.addresses)

    async def start(self) -> int:
        """Returns the port that clients connect to. Before the first of them the module knows its hosts."""
        self.listed(self.config.known)
        self.hosts.start_checks()
        if self.counter:
            self.counter.start()
        if self.core.settings.discovery == "push":
            self.discovery.watch(True)
        return await self.fronts[0].listen(*self.config.listen)

    def reload(self, config: Config) -> None:
        """Goes over to the addresses of a new configuration. The rest of it holds from the next start on."""
        if self.core.stopping:
            return
        old, self.config = self.config, config
        if (old.settings, old.listen, old.sockets) != (config.settings, config.listen, config.sockets):
            log.warning("only new addresses of discovery and counter are taken up before the next start")
        if self.counter and config.counter:
            self.counter.move(config.counter)
        replaced = self.discovery
        self.core.membership = self.discovery = self.watcher(config, replaced.version)
        if replaced.watching:  # the watch begins with the whole list: another service has versions of its own
            self.discovery.watch(True)
        ending = self.loop.create_task(replaced.close())
        self.endings.add(ending)
        ending.add_done_callback(self.endings.discard)
        log.info("new configuration: discovery %s:%d", *config.discovery)

    async def stop(self) -> None:
        """After SIGTERM: goes on while connections still come, then finishes what it has taken."""
        began = time.monotonic()
        self.core.stopping = True
        await asyncio.sleep(LINGER)
        for front in self.fronts:
            front.finish()
        await self.core.drain(began + FINISH - time.monotonic())
        await asyncio.sleep(0)  # the last answers are written at the end of this turn
        for front in self.fronts:
            front.close()
        self.hosts.close()
        if self.counter:
            self.counter.close()
        await asyncio.gather(self.discovery.close(), *self.endings)

"""The RESP2 front: commands to the core, its answers to the connections they came by."""

from __future__ import annotations

import asyncio
import logging
import socket
from time import monotonic
from typing import TYPE_CHECKING, Any

from apigateway import messages
from apigateway.core.request_lifecycle import DuplicateRequestError, RequestDispatcher
from apigateway.frontends.resp.command import BadRequest, Kept, read_command
from apigateway.frontends.resp.server import FAILED, ClientServer, Slot
from apigateway.upstream.address import Address

if TYPE_CHECKING:
    from apigateway.core.admission import AdmissionController
    from apigateway.frontends.resp.outline import Outline, Outliner

PONG = b"+PONG\r\n"
LOOK = 0.005  # s between looks for the rest of half commands at the end

log = logging.getLogger(__name__)


class RespFront:
    """One listener. `span`: gateways that clients know as one. At most `most` connections and `most_partial`
    bytes of half commands on all of them."""

    def __init__(
        self, core: RequestDispatcher, most: int, most_partial: int, address: Address, span: int = 1
    ) -> None:
        self.core, self.address, self.port = core, address, address[1]
        self.server = ClientServer(self, most, most_partial)
        self.kept: Kept = {}
        self.outliner: Outliner | None = None
        self.span = span
        self.tokens: Any = None  # fronts.grpc.tokens.Tokens, where settings have keys for them
        self.watch_door()
        core.register_frontend(self)

    def watch_door(self) -> None:
        """The core's door has come or gone."""
        self.server.door = self.core.admission

    def take_tokens(self, tokens: Any) -> None:
        """Of checks, from now on; None: none are taken."""
        self.tokens = tokens

    def share(self, most: int, most_partial: int) -> None:
        """Its part of the connections and of the bytes of half commands."""
        self.server.most, self.server.most_partial = most, most_partial

    def stopping(self) -> None:
        """Takes on for a while; PING says so."""

    async def listen(self, sock: socket.socket | None = None) -> None:
        """At its address, or on `sock`, which listens already."""
        self.port = await self.server.listen(*self.address, sock)

    def pause(self) -> None:
        """No new connections; those that there are go on."""
        self.server.pause()

    def finish(self) -> None:
        """No new connections; each one that there is closes once all it asked has been answered."""
        self.server.finish()

    async def settled(self, seconds: float) -> None:
        """Until commands that came in part have come whole, and are taken; the core answers them."""
        until = monotonic() + seconds
        while self.server.partial and monotonic() < until:
            await asyncio.sleep(LOOK)

    @property
    def unaccepted(self) -> bool:
        """Whether a connection waits at its listener."""
        return self.server.unaccepted

    @property
    def owes(self) -> bool:
        """Whether an answer that was given is not written whole."""
        return self.server.owes

    async def drained(self) -> None:
        """Until its last connection has ended."""
        await self.server.empty()

    def close(self) -> None:
        self.server.close()
        self.core.unregister_frontend(self)

    def command(self, slot: Slot, command: object) -> None:
        if command == [b"PING"] or command == [b"ping"]:
            serving = self.core.is_ready and not self.core.is_draining
            slot.reply(PONG if serving else b"-ERR not ready\r\n")
            return
        try:
            door = self.core.admission
            if door is not None:
                outliner = self.outliner or self.outlines()
                seen = outliner.command(command)
                if seen is not None and (wait := self.turned_away(door, seen, slot)) >= 0:
                    slot.reject(wait)
                    return
            request, order = read_command(self.core.settings, command, self.kept, self.span)
            if door is not None and seen is None:  # its terms stand in another order
                if (wait := self.turned_away(door, outliner.request(request), slot)) >= 0:
                    slot.reject(wait)
                    return
            if self.tokens is not None and b"tok=" in order.parts[3]:
                request = self.redeemed(request, order.parts[3], slot)
            self.core.submit(self, request, order, slot)
        except BadRequest as err:
            slot.reply(b"-ERR %s\r\n" % str(err).encode())
        except DuplicateRequestError:
            self.unpaid(slot)
            slot.reply(b"-ERR this id is in work\r\n")
        except Exception:
            log.exception("a command could not be taken")
            slot.reply(FAILED)

    def outlines(self) -> Outliner:
        from apigateway.frontends.resp.outline import Outliner  # only where overload is on

        self.outliner = Outliner(self.core.settings)
        return self.outliner

    def turned_away(self, door: AdmissionController, seen: Outline, slot: Slot) -> float:
        """Asks the door. Below 0: it may pass, or is one that may be running and is told so."""
        wait = door.retry_after_if_shed(seen.worth, seen.customer, seen.left, slot.client.came)
        return -1.0 if wait >= 0 and self.core.is_in_flight(seen.id, seen.write) else wait

    def redeemed(self, request: messages.Request, terms: bytes, slot: Slot) -> messages.Request:
        """With a token that stands for its units it takes none; with any other it is a request as ever."""
        text = (b"," + terms).partition(b",tok=")[2].partition(b",")[0].decode("ascii", "replace")
        purpose = (request.customer, request.plan, request.service_class, request.units)
        slot.paid = self.tokens.take(text, purpose)
        if slot.paid is None:
            return request
        return messages.PrepaidRequest(
            request.request_id,
            request.remaining,
            request.customer,
            request.plan,
            request.service_class,
            request.units,
            request.first_gateway,
            request.gateway_spread,
            request.is_retry,
            request.is_write,
            request.route,
        )

    def unpaid(self, slot: Slot) -> None:
        """It was not taken, or refused: its token stands again, unless an attempt was sent."""
        paid, slot.paid = slot.paid, None
        if paid is not None and self.tokens is not None and not (slot.token and slot.token.attempt_count):
            self.tokens.give_back(paid)

    def gone(self, slot: Slot) -> None:
        self.core.on_client_disconnected(slot)

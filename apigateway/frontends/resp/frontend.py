"""The RESP2 frontend: commands to the core, its responses to the connections they came by."""

from __future__ import annotations

import asyncio
import logging
import socket
from time import monotonic
from typing import TYPE_CHECKING

from apigateway import messages
from apigateway.core.request_lifecycle import DuplicateRequestError, RequestDispatcher
from apigateway.frontends.resp.client_connection import FAILED_RESPONSE, ResponseSlot
from apigateway.frontends.resp.command import (
    FIELDS_PART,
    FieldsCache,
    InvalidCommandError,
    parse_command,
)
from apigateway.frontends.resp.server import RespServer
from apigateway.upstream.address import Address

if TYPE_CHECKING:
    from apigateway.core.admission import AdmissionController
    from apigateway.frontends.grpc.tokens import QuotaTokens
    from apigateway.frontends.resp.command_scanner import CommandScanner, ScannedCommand

# Seconds between two checks whether partial commands have come whole, during a shutdown.
PARTIAL_COMMAND_CHECK_INTERVAL_S = 0.005

PING_COMMANDS = ([b"PING"], [b"ping"])
PONG_RESPONSE = b"+PONG\r\n"
NOT_READY_RESPONSE = b"-ERR not ready\r\n"
DUPLICATE_RESPONSE = b"-ERR this id is in work\r\n"
TOKEN_PREFIX = b"tok="  # of the field with a quota check's token

log = logging.getLogger(__name__)


class RespFrontend:
    """One RESP2 listener over the core.

    Args:
        core: What takes the requests.
        max_connections: At most so many at once.
        max_partial_bytes: Bytes of partial commands on all connections together.
        address: Where it listens.
        group_size: Gateways that clients know as one.
    """

    def __init__(
        self,
        core: RequestDispatcher,
        max_connections: int,
        max_partial_bytes: int,
        address: Address,
        group_size: int = 1,
    ) -> None:
        self.core = core
        self.address = address
        self.port = address[1]
        self.server = RespServer(self, max_connections, max_partial_bytes)
        self._group_size = group_size
        self._fields_cache: FieldsCache = {}
        self._scanner: CommandScanner | None = None
        self._tokens: QuotaTokens | None = None  # where settings have keys for them
        self.update_admission()
        core.register_frontend(self)

    # Settings

    def update_admission(self) -> None:
        """Take up the core's admission controller, which has come or gone."""
        self.server.admission = self.core.admission

    def set_tokens(self, tokens: QuotaTokens | None) -> None:
        """Redeem these tokens of quota checks from now on; None: none."""
        self._tokens = tokens

    def set_limits(self, max_connections: int, max_partial_bytes: int) -> None:
        """Set this frontend's part of the connections and of the bytes of partial commands."""
        self.server.max_connections = max_connections
        self.server.max_partial_bytes = max_partial_bytes

    # Listening and shutdown, in this order

    async def listen(self, sock: socket.socket | None = None) -> None:
        """Listen at its address, or on `sock`, which listens already."""
        self.port = await self.server.listen(*self.address, sock)

    def announce_shutdown(self) -> None:
        """Do nothing: it goes on for a while, and PING tells of the shutdown."""

    @property
    def has_pending_connections(self) -> bool:
        """Whether a connection waits at its listener."""
        return self.server.has_pending_connections

    def stop_accepting(self) -> None:
        """Take no new connections; those that there are go on."""
        self.server.stop_accepting()

    def start_draining(self) -> None:
        """Take no new connections, and close each one once all that it asked has been answered."""
        self.server.start_draining()

    async def wait_settled(self, timeout: float) -> None:
        """Wait until partial commands have come whole and are taken, for `timeout` seconds at most."""
        deadline = monotonic() + timeout
        while self.server.partial_bytes and monotonic() < deadline:
            await asyncio.sleep(PARTIAL_COMMAND_CHECK_INTERVAL_S)

    @property
    def has_unwritten_responses(self) -> bool:
        """Whether a response that was given is not written whole."""
        return self.server.has_unwritten_responses

    async def wait_disconnected(self) -> None:
        """Wait until its last connection has ended."""
        await self.server.wait_disconnected()

    def close(self) -> None:
        """Stop its timers and give its capacity to the others."""
        self.server.close()
        self.core.unregister_frontend(self)

    # Commands (client_connection.CommandHandler)

    def on_command(self, slot: ResponseSlot, command: object) -> None:
        """Answer a PING, reject, or hand the command's request to the core."""
        if command in PING_COMMANDS:
            is_serving = self.core.is_ready and not self.core.is_draining
            slot.respond(PONG_RESPONSE if is_serving else NOT_READY_RESPONSE)
            return
        try:
            admission = self.core.admission
            if admission is not None:
                scanner = self._scanner or self._create_scanner()
                scanned = scanner.scan(command)
                if scanned is not None and self._reject_early(admission, scanned, slot):
                    return
            request, upstream_request = parse_command(
                self.core.settings, command, self._fields_cache, self._group_size
            )
            # One whose fields are in another order was not scanned.
            if (
                admission is not None
                and scanned is None
                and self._reject_early(admission, scanner.from_request(request), slot)
            ):
                return
            if self._tokens is not None and TOKEN_PREFIX in upstream_request.parts[FIELDS_PART]:
                request = self._redeem_token(self._tokens, request, upstream_request.parts[FIELDS_PART], slot)
            self.core.submit(self, request, upstream_request, slot)
        except InvalidCommandError as error:
            slot.respond(b"-ERR %s\r\n" % str(error).encode())
        except DuplicateRequestError:
            self.restore_token(slot)
            slot.respond(DUPLICATE_RESPONSE)
        except Exception:
            log.exception("a command could not be taken")
            slot.respond(FAILED_RESPONSE)

    def on_client_disconnected(self, slot: ResponseSlot) -> None:
        """Tell the core that nobody waits for a response any more."""
        self.core.on_client_disconnected(slot)

    # Load shedding

    def _create_scanner(self) -> CommandScanner:
        from apigateway.frontends.resp.command_scanner import CommandScanner  # only where shedding is on

        self._scanner = CommandScanner(self.core.settings)
        return self._scanner

    def _reject_early(
        self, admission: AdmissionController, scanned: ScannedCommand, slot: ResponseSlot
    ) -> bool:
        """Reject a command if the gateway is overloaded and others have priority; tell whether it was.

        One that may be running is not: a rejection says that it has not run.
        """
        retry_after = admission.retry_after_if_shed(
            scanned.priority_step, scanned.customer, scanned.remaining, slot.connection.received_at
        )
        if retry_after < 0 or self.core.is_in_flight(scanned.request_id, scanned.is_write):
            return False
        slot.reject(retry_after)
        return True

    # QuotaTokens of quota checks

    def _redeem_token(
        self, tokens: QuotaTokens, request: messages.Request, fields: bytes, slot: ResponseSlot
    ) -> messages.Request:
        """Return a request that spends no units if its token stands for them, else `request`."""
        text = (b"," + fields).partition(b"," + TOKEN_PREFIX)[2].partition(b",")[0].decode("ascii", "replace")
        slot.redeemed_token = tokens.redeem(text, request)
        if slot.redeemed_token is None:
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

    def restore_token(self, slot: ResponseSlot) -> None:
        """Let a token be used again whose request was not taken or rejected, unless an attempt was sent."""
        token = slot.redeemed_token
        slot.redeemed_token = None
        was_sent = slot.token and slot.token.attempt_count
        if token is not None and self._tokens is not None and not was_sent:
            self._tokens.restore(token)

"""The RESP2 frontend: passes commands to the core and responses back to the client connections."""

from __future__ import annotations

import asyncio
import logging
import socket
from time import monotonic
from typing import TYPE_CHECKING

from apigateway import messages
from apigateway.core.request_lifecycle import DuplicateRequestError, RequestDispatcher
from apigateway.frontends.resp.command import (
    FIELDS_PART,
    FieldsCache,
    InvalidCommandError,
    parse_command,
)
from apigateway.frontends.resp.response_slot import FAILED_RESPONSE, ResponseSlot
from apigateway.frontends.resp.server import RespServer
from apigateway.upstream.address import Address

if TYPE_CHECKING:
    from apigateway.core.admission import AdmissionController
    from apigateway.core.memory_pressure import PressureStage
    from apigateway.frontends.grpc.tokens import QuotaTokens
    from apigateway.frontends.resp.command_scanner import CommandScanner, ScannedCommand

# Polling interval for partial commands to complete during a shutdown.
PARTIAL_COMMAND_CHECK_INTERVAL_S = 0.005

PING_COMMANDS = ([b"PING"], [b"ping"])
PONG_RESPONSE = b"+PONG\r\n"
NOT_READY_RESPONSE = b"-ERR not ready\r\n"
DUPLICATE_RESPONSE = b"-ERR this id is in work\r\n"
DUPLICATE_REASON = "id in flight or run before"
TOKEN_PREFIX = b"tok="  # field with the token of a quota check

log = logging.getLogger(__name__)


class RespFrontend:
    """One RESP2 listener and its connections.

    Args:
        core: The core that handles the requests.
        max_connections: The maximum number of connections.
        max_partial_bytes: The maximum bytes of partial commands on all connections together.
        address: The address to listen on.
        group_size: The number of gateways that clients see as one.
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
        self.server = RespServer(
            self, core.input_scheduler, core.loop_lag, core.memory_budget, max_connections, max_partial_bytes
        )
        self._group_size = group_size
        self._fields_cache: FieldsCache = {}
        self._scanner: CommandScanner | None = None
        self._tokens: QuotaTokens | None = None  # None if the settings have no token keys
        self.update_admission()
        core.register_frontend(self)

    # Settings

    def update_admission(self) -> None:
        """Use the core's admission controller. Call this after it was set or removed."""
        self.server.admission = self.core.admission

    def set_tokens(self, tokens: QuotaTokens | None) -> None:
        """Redeem the tokens of quota checks with `tokens`; None disables redemption."""
        self._tokens = tokens

    def set_limits(self, max_connections: int, max_partial_bytes: int) -> None:
        """Set this frontend's share of the connections and of the bytes of partial commands."""
        self.server.max_connections = max_connections
        self.server.max_partial_bytes = max_partial_bytes

    # Memory

    def set_memory_stage(self, stage: PressureStage, excess_bytes: int) -> None:
        """Act as the stage of the process's memory says."""
        self.server.memory_limits.set_stage(stage, excess_bytes)

    def describe_holders(self) -> list[str]:
        """Return a few words on each kind of object that holds memory, largest first."""
        return self.server.memory_limits.describe_holders()

    # Listening and shutdown, in the order of the calls

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self.server.is_listening

    async def listen(self, sock: socket.socket | None = None) -> None:
        """Listen on the configured address, or on `sock`, a socket that is already listening."""
        self.port = await self.server.listen(self.address, sock)

    def announce_shutdown(self) -> None:
        """Do nothing: commands are still accepted for a while, and PING reports the shutdown."""

    @property
    def has_pending_connections(self) -> bool:
        """Whether a connection waits to be accepted."""
        return self.server.has_pending_connections

    @property
    def pending_connection_count(self) -> int:
        """How many connections wait to be accepted."""
        return self.server.pending_connection_count

    def stop_accepting(self) -> None:
        """Accept no new connections; existing ones continue."""
        self.server.stop_accepting()

    def start_draining(self) -> None:
        """Accept no new connections, and close each one once its commands are answered."""
        self.server.start_draining()

    async def wait_settled(self, timeout: float) -> None:
        """Wait until all partial commands are complete and accepted, for at most `timeout` seconds."""
        deadline = monotonic() + timeout
        while self.server.partial_bytes and monotonic() < deadline:
            await asyncio.sleep(PARTIAL_COMMAND_CHECK_INTERVAL_S)

    @property
    def has_unread_requests(self) -> bool:
        """Whether a connection has received bytes that wait to be read or parsed."""
        return self.server.has_unread_commands

    @property
    def has_unwritten_responses(self) -> bool:
        """Whether a response is not completely written."""
        return self.server.has_unwritten_responses

    async def wait_disconnected(self) -> None:
        """Wait until all connections are closed."""
        await self.server.wait_disconnected()

    def close(self) -> None:
        """Close all connections and release this frontend's share of the capacity."""
        self.server.close()
        self.core.unregister_frontend(self)

    # Commands (client_connection.CommandHandler)

    def on_command(self, slot: ResponseSlot, command: object) -> bool:
        """Answer a PING, shed the command, or submit its request to the core.

        Returns whether the command is a valid request.
        """
        if command in PING_COMMANDS:
            is_serving = self.core.is_ready and not self.core.is_draining
            slot.respond(PONG_RESPONSE if is_serving else NOT_READY_RESPONSE)
            return False
        try:
            admission = self.core.admission
            if admission is not None:
                scanner = self._scanner or self._create_scanner()
                scanned = scanner.scan(command)
                if scanned is not None and self._reject_early(admission, scanned, slot):
                    return True
            request, upstream_request = parse_command(
                self.core.settings,
                command,
                self._fields_cache,
                self._group_size,
                slot.connection.waited_s(),
            )
            # A command with fields in another order could not be scanned.
            if (
                admission is not None
                and scanned is None
                and self._reject_early(admission, scanner.from_request(request), slot)
            ):
                return True
            if self._tokens is not None and TOKEN_PREFIX in upstream_request.parts[FIELDS_PART]:
                request = self._redeem_token(self._tokens, request, upstream_request.parts[FIELDS_PART], slot)
            self.core.submit(self, request, upstream_request, slot)
        except InvalidCommandError as error:
            self.server.activity.on_refused(slot.connection, str(error))
            slot.respond(b"-ERR %s\r\n" % str(error).encode())
            return False
        except DuplicateRequestError:
            self.restore_token(slot)
            self.server.activity.on_refused(slot.connection, DUPLICATE_REASON)
            slot.respond(DUPLICATE_RESPONSE)
            return False
        except Exception:
            log.exception("failed to handle a command")
            slot.respond(FAILED_RESPONSE)
        return True

    def on_client_disconnected(self, slot: ResponseSlot) -> None:
        """Cancel a command whose client has disconnected."""
        self.core.on_client_disconnected(slot)

    # Load shedding

    def _create_scanner(self) -> CommandScanner:
        from apigateway.frontends.resp.command_scanner import CommandScanner  # only if load shedding is on

        self._scanner = CommandScanner(self.core.settings)
        return self._scanner

    def _reject_early(
        self, admission: AdmissionController, scanned: ScannedCommand, slot: ResponseSlot
    ) -> bool:
        """Reject a command if an overloaded gateway prefers others; return whether it was rejected.

        A command that may be running is not rejected, because a rejection means that it has not run.
        """
        retry_after = admission.retry_after_if_shed(
            scanned.priority_step, scanned.customer, scanned.remaining, slot.connection.arrivals.received_at
        )
        if retry_after < 0 or self.core.is_in_flight(scanned.request_id, scanned.is_write):
            return False
        slot.reject(retry_after)
        return True

    # Tokens of quota checks

    def _redeem_token(
        self, tokens: QuotaTokens, request: messages.Request, fields: bytes, slot: ResponseSlot
    ) -> messages.Request:
        """Return a request that spends no units if its token is redeemed, else `request`."""
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
        """Make the token of a rejected request redeemable again, unless an attempt was sent to a host."""
        token = slot.redeemed_token
        slot.redeemed_token = None
        was_sent = slot.token and slot.token.attempt_count
        if token is not None and self._tokens is not None and not was_sent:
            self._tokens.restore(token)

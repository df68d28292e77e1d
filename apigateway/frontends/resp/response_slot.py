"""The place of one command's response among those of its connection."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from apigateway.upstream.framing import encode_bulk_string

if TYPE_CHECKING:
    from apigateway.frontends.grpc.tokens import Token
    from apigateway.frontends.resp.client_connection import ClientConnection

FAILED_RESPONSE = b"-ERR failed\r\n"
BUSY_RESPONSE = b"-BUSY\r\n"
# Memory of a slot with its response, without the response's text.
SLOT_BYTES = 250


class ResponseSlot:
    """Holds the response of one command until its turn to be written; a `ResponseSink` of the core."""

    __slots__ = ("connection", "size_bytes", "response", "token", "redeemed_token")

    def __init__(self, connection: ClientConnection, command_bytes: int = 0) -> None:
        self.connection = connection
        self.size_bytes = command_bytes  # of the command, and of the response once there is one
        self.response: bytes | None = None
        self.token: Any = None  # the core's in-flight record of the command
        self.redeemed_token: Token | None = None  # the quota check's token sent with the command

    def respond(self, response: bytes) -> None:
        """Set the response, unless there is one, and write it once all earlier responses are written."""
        if self.response is None:
            self.response = response
            self.connection.on_response(self, len(response) + SLOT_BYTES)

    def is_client_connected(self) -> bool:
        """Return whether the client is still there.

        The end of a connection is read one poll after a request that arrived before it.
        """
        connection = self.connection
        return not (connection.transport.is_closing() or connection.is_closed_by_peer())

    def complete(self, value: bytes) -> None:
        """Respond with the value from a host, or that the command failed if there is no memory for it."""
        if self.connection.can_hold_response(self, len(value)):
            self.respond(encode_bulk_string(value))
        else:
            self.connection.server.activity.on_failed_for_memory()
            self.fail()

    def reject(self, retry_after: float) -> None:
        """Respond that the command did not run; retry after `retry_after` seconds, 0 if unknown."""
        if self.redeemed_token is not None:
            self.connection.server.handler.restore_token(self)
        milliseconds = math.ceil(retry_after * 1000)
        self.respond(b"-BUSY %d\r\n" % milliseconds if milliseconds > 0 else BUSY_RESPONSE)

    def fail(self) -> None:
        """Respond that the command failed and may have run."""
        self.respond(FAILED_RESPONSE)

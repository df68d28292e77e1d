"""Headers of gRPC calls and responses (see the "gRPC over HTTP2" specification)."""

from __future__ import annotations

from collections.abc import Mapping

from apigateway.upstream.rpc import GrpcStatus, RpcError, parse_timeout, percent_encode

Headers = list[tuple[bytes, bytes]]

CONTENT_TYPE = b"application/grpc"
RESPONSE_HEADERS: Headers = [(b":status", b"200"), (b"content-type", CONTENT_TYPE)]
OK_TRAILERS: Headers = [(b"grpc-status", b"%d" % GrpcStatus.OK)]

_METHOD_NOT_ALLOWED = b"405"  # HTTP statuses
_UNSUPPORTED_MEDIA_TYPE = b"415"


def http_error_status(headers: Mapping[bytes, bytes]) -> bytes | None:
    """Return the HTTP status that rejects a request that is not a gRPC call; None for a gRPC call."""
    if headers.get(b":method") != b"POST":
        return _METHOD_NOT_ALLOWED
    if not headers.get(b"content-type", b"").startswith(CONTENT_TYPE):
        return _UNSUPPORTED_MEDIA_TYPE
    return None


def call_timeout(headers: Mapping[bytes, bytes]) -> float | None:
    """Check the headers of a call and return its timeout in seconds, if set. Raises RpcError."""
    if headers.get(b"grpc-encoding", b"identity") != b"identity":
        raise RpcError(GrpcStatus.UNIMPLEMENTED, "messages are not compressed here")
    return parse_timeout(headers.get(b"grpc-timeout"))


def status_headers(status: int, text: str) -> Headers:
    """Return the headers or trailers that carry a gRPC status and its message."""
    return [(b"grpc-status", b"%d" % status), (b"grpc-message", percent_encode(text))]

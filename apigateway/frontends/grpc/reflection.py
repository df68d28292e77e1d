"""gRPC server reflection, v1 and v1alpha (grpc/reflection/v1/reflection.proto).

Both versions have the same messages on the wire; only the paths differ. Requests for extensions are not
supported.
"""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf import descriptor_pb2, descriptor_pool, text_format
from grpc_reflection.v1alpha import reflection_pb2 as pb

from apigateway.frontends.grpc.methods import StreamingMethod, StreamResponder
from apigateway.upstream.rpc import GrpcStatus

V1_PACKAGE = "grpc.reflection.v1"
V1ALPHA_PACKAGE = "grpc.reflection.v1alpha"
V1_FILE = "grpc/reflection/v1/reflection.proto"
SERVICE_NAMES = (f"{V1_PACKAGE}.ServerReflection", f"{V1ALPHA_PACKAGE}.ServerReflection")
PATHS = tuple(f"/{name}/ServerReflectionInfo" for name in SERVICE_NAMES)


class ReflectionService:
    """Describes services by the file descriptors in protobuf's default pool.

    Args:
        services: The full names of the services, without the reflection services.
    """

    def __init__(self, services: Iterable[str]) -> None:
        self._services = sorted({*services, *SERVICE_NAMES})
        self._pool = descriptor_pool.Default()

    def streams(self) -> dict[str, StreamingMethod]:
        """Return the streaming methods by path."""
        return dict.fromkeys(PATHS, self._reflect)

    def _reflect(self, responder: StreamResponder) -> ReflectionCall:
        return ReflectionCall(self, responder)

    def answer(self, request: pb.ServerReflectionRequest) -> pb.ServerReflectionResponse:
        """Return the response to one request."""
        response = pb.ServerReflectionResponse(valid_host=request.host, original_request=request)
        match request.WhichOneof("message_request"):
            case "list_services":
                for name in self._services:
                    response.list_services_response.service.add(name=name)
            case "file_by_filename" | "file_containing_symbol":
                file = self._find_file(request)
                if file is None:
                    response.error_response.error_code = GrpcStatus.NOT_FOUND
                    response.error_response.error_message = "not known here"
                else:
                    response.file_descriptor_response.file_descriptor_proto.append(file.SerializeToString())
            case _:
                response.error_response.error_code = GrpcStatus.UNIMPLEMENTED
                response.error_response.error_message = "there are no extensions here"
        return response

    def _find_file(self, request: pb.ServerReflectionRequest) -> descriptor_pb2.FileDescriptorProto | None:
        file = descriptor_pb2.FileDescriptorProto()
        try:
            if request.WhichOneof("message_request") == "file_by_filename":
                if request.file_by_filename == V1_FILE:
                    return _v1_file()
                self._pool.FindFileByName(request.file_by_filename).CopyToProto(file)
            else:
                if request.file_containing_symbol.startswith(V1_PACKAGE + "."):
                    return _v1_file()
                self._pool.FindFileContainingSymbol(request.file_containing_symbol).CopyToProto(file)
        except KeyError:
            return None
        return file


class ReflectionCall:
    """One reflection call: it responds to each message and ends when the client has sent all of them."""

    def __init__(self, reflection: ReflectionService, responder: StreamResponder) -> None:
        self._reflection = reflection
        self._responder = responder

    def on_message(self, message: bytes) -> None:
        """Respond to a request."""
        try:
            request = pb.ServerReflectionRequest.FromString(message)
        except Exception:  # malformed bytes raise not only protobuf's DecodeError
            self._responder.end(GrpcStatus.INTERNAL, "the message cannot be read")
            return
        self._responder.send(self._reflection.answer(request).SerializeToString())

    def on_half_closed(self) -> None:
        """End the call."""
        self._responder.end(GrpcStatus.OK)

    def on_cancelled(self) -> None:
        """Do nothing: a reflection call has no pending work."""


def _v1_file() -> descriptor_pb2.FileDescriptorProto:
    """Return the file descriptor of v1, derived from that of v1alpha, because no package provides it."""
    v1alpha = descriptor_pb2.FileDescriptorProto()
    pb.DESCRIPTOR.CopyToProto(v1alpha)
    text = text_format.MessageToString(v1alpha).replace(f".{V1ALPHA_PACKAGE}.", f".{V1_PACKAGE}.")
    v1 = text_format.Parse(text, descriptor_pb2.FileDescriptorProto())
    v1.name = V1_FILE
    v1.package = V1_PACKAGE
    return v1

"""Server reflection, v1 and v1alpha (grpc/reflection/v1/reflection.proto): tools ask a server what it speaks.

Both have the same messages on the wire; only the paths differ. Extensions are none of ours."""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf import descriptor_pb2, descriptor_pool, text_format
from grpc_reflection.v1alpha import reflection_pb2 as pb

from apigateway.frontends.grpc.frontend import Flow, Streams
from apigateway.upstream.rpc import INTERNAL, NOT_FOUND, UNIMPLEMENTED

PATHS = tuple(f"/grpc.reflection.{v}.ServerReflection/ServerReflectionInfo" for v in ("v1", "v1alpha"))
V1, ALPHA = "grpc.reflection.v1", "grpc.reflection.v1alpha"
V1_FILE = "grpc/reflection/v1/reflection.proto"
NAMES = (f"{V1}.ServerReflection", f"{ALPHA}.ServerReflection")


def renamed() -> descriptor_pb2.FileDescriptorProto:
    """The file of v1, which no package has: that of v1alpha by its own names."""
    told = descriptor_pb2.FileDescriptorProto()
    pb.DESCRIPTOR.CopyToProto(told)
    text = text_format.MessageToString(told).replace(f".{ALPHA}.", f".{V1}.")
    made = text_format.Parse(text, descriptor_pb2.FileDescriptorProto())
    made.name, made.package = V1_FILE, V1
    return made


class Reflection:
    """`services` by their full names; their files are those of protobuf's pool."""

    def __init__(self, services: Iterable[str]) -> None:
        self.services = sorted({*services, *NAMES})
        self.pool = descriptor_pool.Default()

    def file(self, request: pb.ServerReflectionRequest) -> descriptor_pb2.FileDescriptorProto | None:
        told = descriptor_pb2.FileDescriptorProto()
        try:
            if request.WhichOneof("message_request") == "file_by_filename":
                if request.file_by_filename == V1_FILE:
                    return renamed()
                self.pool.FindFileByName(request.file_by_filename).CopyToProto(told)
            else:
                if request.file_containing_symbol.startswith(V1 + "."):
                    return renamed()
                self.pool.FindFileContainingSymbol(request.file_containing_symbol).CopyToProto(told)
        except KeyError:
            return None
        return told

    def answer(self, request: pb.ServerReflectionRequest) -> pb.ServerReflectionResponse:
        response = pb.ServerReflectionResponse(valid_host=request.host, original_request=request)
        match request.WhichOneof("message_request"):
            case "list_services":
                for name in self.services:
                    response.list_services_response.service.add(name=name)
            case "file_by_filename" | "file_containing_symbol":
                told = self.file(request)
                if told is None:
                    response.error_response.error_code = NOT_FOUND
                    response.error_response.error_message = "not known here"
                else:
                    response.file_descriptor_response.file_descriptor_proto.append(told.SerializeToString())
            case _:
                response.error_response.error_code = UNIMPLEMENTED
                response.error_response.error_message = "there are no extensions here"
        return response

    def streams(self) -> dict[str, Streams]:
        return {path: lambda flow: Asking(self, flow) for path in PATHS}


class Asking:
    """One call: an answer to each message, and the end when the client has said all."""

    def __init__(self, reflection: Reflection, flow: Flow) -> None:
        self.reflection, self.flow = reflection, flow

    def heard(self, message: bytes) -> None:
        try:
            request = pb.ServerReflectionRequest.FromString(message)
        except Exception:
            self.flow.end(INTERNAL, "the message cannot be read")
            return
        self.flow.say(self.reflection.answer(request).SerializeToString())

    def done(self) -> None:
        self.flow.end(0)

    def gone(self) -> None:
        pass

"""The rate limit service over gRPC (docs/design/grpc.md). Imported only if a listener needs it."""

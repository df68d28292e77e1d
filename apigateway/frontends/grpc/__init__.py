"""The rate limit service over gRPC (docs/design/grpc.md). Loaded where a listener asks for it."""

"""Asking an outer rate limit service before a request is sent on (docs/design/grpc.md). Loaded where settings
name one."""

"""Client of an external rate limit service, which is asked before the decision module is given a request.

See docs/design/grpc.md. Loaded only where settings name such a service.
"""

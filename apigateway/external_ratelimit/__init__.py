"""Client of an external rate limit service, which is called before the decision module handles a request.

See docs/design/grpc.md. Imported only if the settings name such a service.
"""

"""Connections to hosts: pools, connections, attempts and health checks, and the framing on them."""

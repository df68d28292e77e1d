"""Connections to hosts: pools, connections, attempts and health checks, and message framing."""

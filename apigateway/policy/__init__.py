"""The decision module: it turns events into actions, and does no I/O and reads no clock."""

from apigateway.policy.gateway import Gateway

__all__ = ["Gateway"]

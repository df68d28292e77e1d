"""The decision module: it turns events into actions, does no I/O and reads no clock."""

from apigateway.policy.gateway import Gateway

__all__ = ["Gateway"]

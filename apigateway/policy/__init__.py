"""The decision module: events go in, actions come out, without I/O and without a clock."""

from apigateway.policy.gateway import Gateway

__all__ = ["Gateway"]

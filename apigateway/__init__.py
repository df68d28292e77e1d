"""An api gateway whose quotas hold over all gateways by leases on a counter service."""

__version__ = "0.2.0"

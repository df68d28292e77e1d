"""An API gateway that enforces customers' quotas across a fleet, by leases on a shared counter."""

__version__ = "0.2.0"

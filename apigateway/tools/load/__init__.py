"""A load generator that cannot hide a stall (docs/design/load.md)."""

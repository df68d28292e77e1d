"""Open-loop load generator that shows every stall of its target (docs/design/load.md)."""

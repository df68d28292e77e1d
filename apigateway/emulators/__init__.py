"""Emulated outside systems on loopback, with scripted faults."""

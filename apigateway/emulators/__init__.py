"""Emulated outside systems on loopback, by script."""

"""Build a gateway from checked settings, and start, reload and stop it."""

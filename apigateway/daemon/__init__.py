"""Builds the parts from checked settings, starts them, reloads and ends them."""

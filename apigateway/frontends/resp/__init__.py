"""RESP2, as the platform's clients speak it."""

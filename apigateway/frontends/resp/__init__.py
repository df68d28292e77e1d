"""The RESP2 frontend for the platform's client protocol."""

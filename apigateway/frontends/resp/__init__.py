"""The RESP2 frontend, which serves the client protocol of the platform."""

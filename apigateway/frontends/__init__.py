"""Client protocols, one package each: bytes to the core's requests, its answers to bytes."""

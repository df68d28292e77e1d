"""Client protocols, one package each: they decode requests for the core and encode its responses."""

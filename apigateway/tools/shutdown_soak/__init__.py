"""A seeded soak of shutdowns: real gateway processes that end while clients, hosts and signals misbehave."""

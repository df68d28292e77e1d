"""A seeded soak of a gateway beside clients that abuse it."""

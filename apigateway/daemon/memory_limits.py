"""What parts of a gateway's memory limit clients can use.

A client can make up customers, so their number has a limit on every gateway. Those that came last longest ago
are forgotten first (`policy/customers.py`).
"""

from __future__ import annotations

# Memory of the program itself, rounded up.
PROGRAM_BYTES = 40 * 1024 * 1024
# Clients' received bytes, requests and unwritten responses may take one part in CLIENT_MEMORY_DIVISOR of the
# memory that the program leaves.
CLIENT_MEMORY_DIVISOR = 3
MIN_CLIENT_BYTES = 8 * 1024 * 1024
# Memory of one customer's quota, rounded up.
BYTES_PER_CUSTOMER = 1200
# Customers may take one part in CUSTOMER_MEMORY_DIVISOR of the memory that the program leaves.
CUSTOMER_MEMORY_DIVISOR = 28
MIN_CUSTOMERS = 1000


def max_client_bytes(memory_bytes: int) -> int:
    """Return how much memory clients may use at a gateway with a memory limit."""
    return max(MIN_CLIENT_BYTES, (memory_bytes - PROGRAM_BYTES) // CLIENT_MEMORY_DIVISOR)


def default_max_customers(memory_bytes: int) -> int:
    """Return how many customers a gateway with a memory limit keeps, unless its settings say it."""
    customer_bytes = (memory_bytes - PROGRAM_BYTES) // CUSTOMER_MEMORY_DIVISOR
    return max(MIN_CUSTOMERS, customer_bytes // BYTES_PER_CUSTOMER)

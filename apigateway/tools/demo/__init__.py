"""`api-gateway demo`: an emulated installation, three real gateways, some faults, and what came of it."""

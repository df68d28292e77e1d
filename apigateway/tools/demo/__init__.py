"""`api-gateway demo`: run gateways against emulated hosts, inject faults, and report the outcomes."""

"""Endpoints from a Eureka registry, by Netflix's REST operations.

Source: the wiki of Netflix/eureka, "Eureka REST operations".

`parser` reads JSON and XML into the types of `model`, `registry_cache` keeps what complete lists
and deltas report, `mapping` makes endpoints of instances: all pure. `source` polls, `registration` registers
this gateway itself.
"""

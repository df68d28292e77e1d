"""Endpoints from a Eureka registry, by Netflix's REST operations.

The protocol is documented in the wiki of Netflix/eureka, "Eureka REST operations".

`parser` parses JSON and XML into the types of `model`, `registry_cache` applies complete lists and deltas,
`mapping` converts instances to endpoints. These modules are pure. `source` polls the registry, `registration`
registers this gateway.
"""

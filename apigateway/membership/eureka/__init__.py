"""Hosts from a Eureka registry, by Netflix's REST operations (wiki of Netflix/eureka, "Eureka REST
operations").

`model` reads its JSON and XML, `replica` keeps what whole lists and deltas tell, `mapping` makes hosts of
instances: all pure. `source` fetches, `registration` registers this gateway itself.
"""

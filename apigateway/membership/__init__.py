"""Sources of endpoints (discovery, a file, Eureka) and the reconciler that decides which reports to accept.

Each source produces `EndpointListing`s: endpoints for the decision module, and their addresses.
"""

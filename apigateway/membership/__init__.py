"""Sources of endpoints (discovery, a file, Eureka), and one reconciler that says what of them to accept.

Each source ends in the same form, a `Listing`: endpoints for the decision module, and their addresses.
"""

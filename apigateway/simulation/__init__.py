"""A discrete-event simulation of a fleet with real decision modules.

Hosts, the quota counter, the endpoint list, clients, links and faults are modelled. There is no I/O and no
clock other than the simulated one. The same seed produces the same figures.
"""

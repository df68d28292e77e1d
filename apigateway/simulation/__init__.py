"""A fleet on a simulated clock: real decision modules, all else modelled.

Modelled are hosts, the quota counter, the endpoint list, clients, links and faults. Pure: no I/O, and no
clock but its own. The same seed comes to the same figures.
"""

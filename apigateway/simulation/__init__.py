"""A fleet on a simulated clock: real decision modules, modelled hosts, counter, list, clients, links.

No I/O, no clock but its own: a seed plays the same to the byte."""

"""Stand-ins of the second review: clients, hosts, counter, agents and links, and the gateways' processes."""

"""Where the list of hosts comes from: each source ends in one `interface.HostList` and addresses."""

"""Client of the quota counter, the service that sums up what customers use across all gateways."""

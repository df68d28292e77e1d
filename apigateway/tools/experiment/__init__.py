"""`api-gateway experiment`: plays of the fleet's model, over cases, sweeps and seeds."""

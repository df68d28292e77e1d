"""`api-gateway experiment`: simulations of a fleet, over cases, sweeps and seeds."""

"""`api-gateway experiment`: simulate a fleet for each case, swept value and seed."""

"""Client of the quota counter, the service on which all gateways add up what their customers used."""

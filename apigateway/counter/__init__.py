"""The counter service's clients."""

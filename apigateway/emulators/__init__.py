"""Stand-in outside systems on loopback, scripted."""

"""What delays emulators, clients and a gateway, and when bytes really arrived: for verdicts on times."""

"""Tools for those who write plug-ins: skeletons, checks, replays of recorded requests, the cost of a call."""

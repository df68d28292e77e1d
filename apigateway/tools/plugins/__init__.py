"""Tools for authors of plug-ins: skeletons, checks, replays of recorded requests, measurements of calls."""

"""Programs of their own over public interfaces: demo, later load generator and planner."""

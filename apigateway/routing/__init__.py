"""Where requests may go: pure decisions on hosts as a whole, below the decision module."""

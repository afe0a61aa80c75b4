"""Randomized soak of the real programs under faults from outside."""

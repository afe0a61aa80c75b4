"""Serve callers and operators at the edge."""

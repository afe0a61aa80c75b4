"""Decide, without sockets, clocks or global randomness."""

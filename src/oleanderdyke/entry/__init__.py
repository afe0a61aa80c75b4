"""Serve requests of callers and operators and choose backend servers."""

"""Serve callers on the users' platform."""

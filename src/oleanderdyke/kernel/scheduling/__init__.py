"""Decisions under load: which backend server, which request, and when."""

"""Clients for backend servers and for services of the platform."""

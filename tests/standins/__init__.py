"""Simulate the systems around the product, for tests and the demo."""

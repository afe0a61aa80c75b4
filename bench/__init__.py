"""Benchmark routing, admission, caching and process costs."""

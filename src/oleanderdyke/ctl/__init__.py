"""Command-line client for operators."""

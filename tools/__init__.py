"""Make files that are derived from the code."""

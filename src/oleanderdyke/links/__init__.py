"""Carry typed messages between the system's own processes."""

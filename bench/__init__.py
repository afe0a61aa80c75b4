"""Measure decisions and costs."""

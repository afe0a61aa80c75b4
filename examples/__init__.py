"""Run example deployments on one machine."""

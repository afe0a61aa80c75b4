"""Entry process for deployments on the users' platform."""

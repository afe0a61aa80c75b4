"""The hosted mode of the agent, on the users' platform."""

"""Generate files from the code and run days on deployments."""

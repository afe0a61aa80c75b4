"""Talk to the log service, the VM list and the weight store."""

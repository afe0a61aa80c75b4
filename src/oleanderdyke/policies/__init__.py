"""Register the plug-ins that decide by a replaceable policy."""

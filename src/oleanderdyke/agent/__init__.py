"""The agent: the process that runs beside one backend server."""

"""Guard one backend server."""

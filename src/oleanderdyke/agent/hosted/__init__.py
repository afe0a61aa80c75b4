"""Watch a backend server on the users' platform."""

"""Drive the system from an operator's terminal."""

"""Decision logic, free of sockets, clocks and global randomness."""

"""A soak of a real fleet: processes and sockets on loopback under overlapping faults, judged."""

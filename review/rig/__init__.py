"""Stand-ins of the users' side and a small fleet on loopback, for the scripts of the cases."""

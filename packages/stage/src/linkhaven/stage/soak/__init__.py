"""Soak test: a fleet of real processes on loopback sockets under overlapping faults, checked
against the rules of `judge.py`."""

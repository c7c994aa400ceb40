"""A free range of ports on loopback."""

import os
import socket

RANGE = 100
RANGES = 25
"""Ranges looked at; each process begins at another one, as fleets start side by side."""


def is_free(port):
    """Whether nothing is bound to the port."""
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def find_range(first):
    """The first port of a hundred free ones, from `first` on."""
    begin = os.getpid() % RANGES
    for place in range(RANGES):
        base = first + (begin + place) % RANGES * RANGE
        if all(is_free(port) for port in range(base, base + RANGE)):
            return base
    raise RuntimeError(f"no free hundred of ports from {first} on")

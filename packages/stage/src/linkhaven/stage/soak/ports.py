"""Finds a free range of ports on loopback."""

import os
import socket

RANGE_SIZE = 100
RANGE_COUNT = 25
"""Ranges searched. Each process starts its search at a range that depends on its process id, as
several fleets may start at the same time."""


def is_free(port):
    """Whether nothing is bound to the port."""
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def find_range(first):
    """Return the first port of 100 free consecutive ones, searching from `first` on; raises
    RuntimeError if there is none."""
    begin = os.getpid() % RANGE_COUNT
    for index in range(RANGE_COUNT):
        base = first + (begin + index) % RANGE_COUNT * RANGE_SIZE
        if all(is_free(port) for port in range(base, base + RANGE_SIZE)):
            return base
    raise RuntimeError(f"no range of 100 free ports found from port {first} on")

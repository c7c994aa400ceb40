"""Units of time."""

MICROSECONDS = 1_000_000
"""In a second."""

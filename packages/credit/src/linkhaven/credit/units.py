"""Units of time."""

US_PER_SECOND = 1_000_000
"""Microseconds per second."""

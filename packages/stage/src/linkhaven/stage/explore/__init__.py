"""A model checker for the core: it runs the real, I/O-free nodes under event orders that it
chooses.
"""

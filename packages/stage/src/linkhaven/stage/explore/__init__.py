"""A model checker: the real pure nodes of the core under orders of events that it chooses itself."""

"""Bounds on the memory and the connections that callers may use."""

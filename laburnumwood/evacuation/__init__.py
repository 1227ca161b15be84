"""Evacuation of failure domains, whose workers then get no requests."""

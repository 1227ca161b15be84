"""A stand-in for the object API of a platform."""

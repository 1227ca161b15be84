"""A stand-in for a worker of an upstream."""

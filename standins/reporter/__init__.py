"""A stand-in worker that reports to its local node to receive grants."""

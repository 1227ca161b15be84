"""How much a worker is sent while it is cold."""

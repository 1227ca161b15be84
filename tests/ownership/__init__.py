"""A simulation of the nodes that own shards, in one process."""

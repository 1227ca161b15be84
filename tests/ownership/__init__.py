"""A small world in which the code that owns shards is stepped."""

"""A collector of the journals of workers, which outlives them."""

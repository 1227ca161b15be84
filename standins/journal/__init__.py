"""A collector of worker journals, which keeps them after workers end."""

"""Fleet membership: which nodes are live, and how nodes learn of it."""

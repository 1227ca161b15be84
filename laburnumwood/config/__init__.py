"""Configuration of the router: declarations, merging and acceptance."""

"""The config of the router."""

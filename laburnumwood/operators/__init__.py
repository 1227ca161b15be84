"""The operators of the router."""

"""The placement of the router."""

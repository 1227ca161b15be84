"""The upstream of the router."""

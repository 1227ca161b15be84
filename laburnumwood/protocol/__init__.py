"""The protocol of the router."""

"""The cli of the router."""

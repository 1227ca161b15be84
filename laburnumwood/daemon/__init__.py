"""The daemon of the router."""

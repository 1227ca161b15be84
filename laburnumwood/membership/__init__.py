"""The membership of the router."""

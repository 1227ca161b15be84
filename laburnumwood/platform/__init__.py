"""The platform of the router."""

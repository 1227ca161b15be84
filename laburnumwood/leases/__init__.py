"""The leases of the router."""

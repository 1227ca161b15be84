"""The routing of the router."""

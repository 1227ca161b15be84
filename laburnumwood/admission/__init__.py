"""The admission of the router."""

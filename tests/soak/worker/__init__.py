"""A worker whose responses, whole or broken, are set by each request."""

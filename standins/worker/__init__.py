"""A test server that stands in for a worker of an upstream."""

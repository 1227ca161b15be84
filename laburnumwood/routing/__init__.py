"""Routing of requests from the ingress to the worker of the owner."""

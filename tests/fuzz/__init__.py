"""Malformed input for each way into a node, made from real messages."""

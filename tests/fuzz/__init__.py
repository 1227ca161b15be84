"""Malformed data for each input of a node, made from valid messages."""

"""The upstream of a node: its worker."""

"""The operator port of a node: its pages and who may read them."""

"""The configuration that a node has: its news, its age and its proof."""

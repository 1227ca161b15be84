"""The protocol between nodes: messages, links and streams."""

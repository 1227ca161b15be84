"""A worker that answers as each request asks, sound or broken."""

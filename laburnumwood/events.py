"""The events of the package."""

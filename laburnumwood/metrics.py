"""The metrics of the package."""

"""The records of the package."""
